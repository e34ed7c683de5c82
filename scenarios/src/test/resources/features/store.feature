Feature: The configuration store

  Scenario Outline: An outage of the store does not stop requests, against authority that depends on the store alone
    Given a deployment of 1 zone with 3 hosts each, seed <seed>
    When callers send 100 requests a second
    And the store goes down
    And 7 seconds pass
    Then 99 percent of the requests of the next 2 seconds are answered
    When the store comes back
    Then a change of an operator is in force on every host within 18 seconds

    Examples:
      | seed |
      | 401  |
      | 402  |

  Scenario Outline: Lost answers of the store repeat and lose no change, against a writer that assumes an outcome
    Given a deployment of 1 zone with 2 hosts each, seed <seed>
    When the store loses every second answer to a write
    And an operator grants 6 keys one after the other
    Then each change that was reported as done is in force and each rejected one is not
    And no change is in the log twice

    Examples:
      | seed |
      | 411  |
      | 412  |

  Scenario Outline: A store restored from an older copy reverts nothing, against nodes that follow the store backwards
    Given a deployment of 1 zone with 2 hosts each, seed <seed>
    When the store is copied
    And an operator grants 3 keys one after the other
    And all hosts have the latest revision
    And the store is restored from the copy
    Then the latest revision stays in force on every host for 4 seconds
    And a change of an operator is in force on every host within 18 seconds
    And each change that was reported as done is in force and each rejected one is not

    Examples:
      | seed |
      | 421  |
      | 422  |
