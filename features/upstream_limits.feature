Feature: Upstreams get no more requests than the limit that they name

  Scenario: Three entry hosts together send a limited replica more than its limit
    Given a platform with the replicas "a" and "b" of each service
    And an entry host
    And 2 further entry hosts
    And the replica "till-a" names a limit of 1.8 requests a second
    When callers send 30 requests a second to each entry host for 6 s
    Then from 1 s on "till-a" got at most 15 requests in any 4 s
    And the callers got 200 each time

  Scenario Outline: Shares of many entry hosts and their retries add up to more than a limit
    When <hosts> entry hosts send requests to an upstream with a limit of <limit>
    Then it gets at most one and a half times the limit and 5 requests in any 4 s
    And it gets at least half of its limit

    Examples:
      | hosts | limit |
      | 7     | 1.8   |
      | 7     | 20    |
      | 85    | 1.8   |
      | 85    | 0.4   |
      | 380   | 1.8   |

  Scenario: Entry hosts that are killed and replaced send more than the limit
    When 7 entry hosts, one replaced every 2 s, send requests to an upstream with a limit of 1.8
    Then it gets at most one and a half times the limit and 5 requests in any 4 s

  Scenario Outline: A limit that changes is not followed
    Given 7 entry hosts that keep the limit of 1.8 of an upstream
    When the upstream names <limit> instead
    Then it gets <fewest> to <most> requests in 20 s

    Examples:
      | limit | fewest | most |
      | 10    | 100    | 220  |
      | 0     | 1      | 10   |
      | nan   | 18     | 40   |
      | inf   | 500    | 2000 |

  Scenario Outline: A limit that can't be read is taken for one
    Then the header value "<text>" is read as <limit>

    Examples:
      | text      | limit |
      | 1.8       | 1.8   |
      | 0         | 0     |
      | -3        | nan   |
      | many      | nan   |
      |           | nan   |
      | inf       | inf   |
      | not named | inf   |
