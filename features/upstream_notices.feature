Feature: What upstreams tell of themselves in their answers is heeded

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario Outline: An upstream that tells that it leaves gets new requests
    Given the replica "till-a" tells in its answers that it leaves
    When callers send 40 requests a second to "<path>" for 3 s
    Then "till-a" got no request later than 0.3 s after its first answer
    And the callers got 200 each time

    Examples:
      | path      |
      | /charge/1 |
      | /lookup/1 |

  Scenario Outline: An upstream that turns requests away for a time gets more
    Given the replica "till-a" turns requests away for <seconds> s
    When callers send 40 requests a second to "<path>" for 3 s
    Then "till-a" got at most 2 requests from 0.5 s to <seconds> s after its first answer
    And the callers got 200 each time

    Examples:
      | path      | seconds |
      | /charge/1 | 2       |
      | /lookup/1 | 2       |
      | /lookup/1 | 2.6     |
      | /charge/1 | 60      |

  Scenario: An upstream that turned requests away is never used again
    Given the replica "till-a" turns requests away for 1 s
    When callers send 40 requests a second to "/charge/1" for 3 s
    Then "till-a" got a request later than 1 s after its first answer

  Scenario: All upstreams turn requests away
    Given each replica turns requests away for 2 s
    When callers send 40 requests a second to "/charge/1" for 2 s
    Then each replica got at most 2 requests from 0.5 s on
    And the callers got 503 each time, with a time to wait

  Scenario Outline: An answer names no readable time to wait
    Given the replica "till-a" turns requests away once for "<text>" s
    When callers send 40 requests a second to "/charge/1" for 2 s
    Then "till-a" got a request later than 0.1 s after its first answer

    Examples:
      | text                          |
      | soon                          |
      | -5                            |
      | nan                           |
      | inf                           |
      | 1e400                         |
      | Wed, 21 Oct 2026 07:28:00 GMT |

  Scenario: A host does not heed what an upstream tells on another host's request
    Given the replica "till-a" tells in its answers that it leaves
    And the entry hosts "edge-2" with links of their own
    When the links of "edge-2" to all upstreams reset
    And callers send 20 requests a second of all routes to "edge-2" for 3 s
    And callers send 40 requests a second to "/charge/1" for 3 s
    Then "till-a" got no request later than 0.3 s after its first answer
