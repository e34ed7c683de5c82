Feature: Hosts that fail

  Scenario Outline: A killed upstream host is avoided, against requests that follow it
    Given a deployment of 2 zones with 2 hosts each, seed <seed>
    When callers send 100 requests a second
    And 2 seconds pass
    And the chosen host is killed
    And 3 seconds pass
    Then 99 percent of the lookups of the next 2 seconds are answered

    Examples:
      | seed |
      | 201  |
      | 202  |

  Scenario Outline: A frozen node that resumes as an arbiter runs nothing again, against authority that outlives a pause
    Given a deployment of 1 zone with 3 hosts each, seed <seed>
    When callers repeat 30 orders through all hosts for 17 seconds
    And the chosen host is frozen meanwhile for 14 seconds
    Then repeats that were answered had the same answer

    Examples:
      | seed |
      | 211  |
      | 212  |

  Scenario Outline: Two faults at once are survived, against rules that assume one fault at a time
    Given a deployment of 3 zones with 2 hosts each, seed <seed>
    When callers send 100 requests a second
    And 1 second passes
    And the store goes down
    And the chosen host is killed
    And 3 seconds pass
    Then 99 percent of the lookups of the next 2 seconds are answered
    And 50 percent of the orders of the next 2 seconds are answered

    Examples:
      | seed |
      | 221  |
      | 222  |
