Feature: Operators

  Scenario Outline: Racing operators get one order of changes, against a change that overwrites another
    Given a deployment of 1 zone with 2 hosts each, seed <seed>
    When 4 operators grant 2 keys each at the same time
    Then each change that was reported as done is in force and each rejected one is not
    And no change is in the log twice
    And all hosts have the latest revision

    Examples:
      | seed |
      | 501  |
      | 502  |

  Scenario Outline: A key withdrawn on an open connection stops at once, against requests that wait with an old key
    Given a deployment of 1 zone with 2 hosts each, seed <seed>
    And upstreams that take 400 milliseconds for a request
    When callers send 60 requests a second on open connections
    And 2 seconds pass
    And the key of the callers is withdrawn
    Then nothing runs with the key 5 seconds later
    And the open connections get refusals of kind KEY_UNKNOWN

    Examples:
      | seed |
      | 511  |
      | 512  |

  Scenario Outline: A drained upstream gets no new work, against work that is lost when it leaves
    Given a deployment of 1 zone with 3 hosts each, seed <seed>
    When callers send 100 requests a second
    And 1 second passes
    And the upstream of the chosen host announces that it drains
    And 3 seconds pass
    Then nothing runs on the chosen host in the next 2 seconds
    And every request was answered

    Examples:
      | seed |
      | 521  |
      | 522  |
