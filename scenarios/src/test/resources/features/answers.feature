Feature: Answers

  Scenario Outline: A request through two nodes gets the whole answer, against crossed or truncated answers
    Given a deployment of 2 zones with 1 host each, seed <seed>
    When callers send 400 requests through all hosts
    Then every request was answered
    And requests ran on every host

    Examples:
      | seed |
      | 101  |
      | 102  |

  Scenario Outline: Repeats of one id through all nodes run once while the arbiter dies, against a second run by its successor
    Given a deployment of 1 zone with 3 hosts each, seed <seed>
    When callers repeat 30 orders through all hosts for 6 seconds
    And the chosen host is killed meanwhile
    Then repeats that were answered had the same answer
    And orders for 2 seconds are answered after at most 25 seconds

    Examples:
      | seed |
      | 111  |
      | 112  |
