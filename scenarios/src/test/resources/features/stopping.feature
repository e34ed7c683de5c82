Feature: Planned stops

  Scenario Outline: A planned stop under load interrupts no request, against connections that close on their callers
    Given a deployment of 1 zone with 3 hosts each, seed <seed>
    When callers send 100 requests a second over HTTP/1.1 and HTTP/2
    And 2 seconds pass
    And the chosen host is stopped
    And 2 seconds pass
    Then no request was interrupted
    And every request that was not refused as not run was answered

    Examples:
      | seed |
      | 601  |
      | 602  |

  Scenario Outline: A rolling replacement of every host interrupts no request, against state that leaves with a host
    Given a deployment of 1 zone with 3 hosts each, seed <seed>
    When callers send 60 requests a second over HTTP/1.1 and HTTP/2
    And every host is stopped and replaced in turn
    And 2 seconds pass
    Then no request was interrupted
    And 99 percent of the requests of the next 2 seconds are answered

    Examples:
      | seed |
      | 611  |
      | 612  |
