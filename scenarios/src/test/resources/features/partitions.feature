Feature: Partitions

  Scenario Outline: A partitioned zone serves what it can, against a zone that needs the others for every request
    Given a deployment of 3 zones with 1 host each, seed <seed>
    When the chosen zone is partitioned
    And 3 seconds pass
    And callers send 100 requests a second
    Then 95 percent of the lookups of the next 3 seconds are answered
    And orders whose id names the zone of their host are answered
    When the partition heals
    And 6 seconds pass
    Then 99 percent of the requests of the next 2 seconds are answered

    Examples:
      | seed |
      | 301  |
      | 302  |
