Feature: Cold upstreams get no more requests than they take

  Scenario Outline: Shares of many entry hosts add up to more than cold upstreams take
    When <hosts> entry hosts send <arrivals> requests a second to <upstreams> cold upstreams
    Then each got at most one and a half times 20 and 5 requests in any second
    And together they got at least <share> in 100 of what they take

    Examples:
      | hosts | upstreams | arrivals | share |
      | 1     | 3         | 200      | 50    |
      | 7     | 10        | 600      | 80    |
      | 87    | 10        | 600      | 50    |
      | 380   | 10        | 600      | 60    |
      | 63    | 30        | 1800     | 70    |

  Scenario: Entry hosts that start know only themselves and take whole rates
    When 63 entry hosts, one replaced each second, send 1800 requests a second to 30 cold upstreams
    Then each got at most one and a half times 20 and 5 requests in any second

  Scenario Outline: A service is starved while all its upstreams are cold
    When <hosts> entry hosts send <arrivals> requests a second to <upstreams> cold upstreams
    Then at most <refused> in 100 requests found no upstream

    Examples:
      | hosts | upstreams | arrivals | refused |
      | 7     | 18        | 150      | 5       |
      | 63    | 30        | 285      | 8       |
      | 380   | 30        | 285      | 20      |

  Scenario: Owners that can't be asked make hosts go beyond their shares
    Given that the entry hosts don't reach each other
    When 63 entry hosts send 1800 requests a second to 30 cold upstreams
    Then each got at most one and a half times 20 and 5 requests in any second
    And together they got at least 50 in 100 of what they take

  Scenario Outline: An upstream that is cold isn't taken for it, or a warm one is
    Given that an entry host <first>
    When that host <then>
    Then the upstream is cold for <seconds> s

    Examples:
      | first                       | then                          | seconds |
      | knows the upstream          | reads it unchanged            | 0       |
      | knows the upstream          | reads a new incarnation of it | 3       |
      | knows the upstream          | reads that 1.5 s are left     | 1.5     |
      | knows the upstream          | is told that 2 s are left     | 2       |
      | reads that 1.5 s are left   | reads that 0 s are left       | 0       |
      | reads that 1.5 s are left   | is told that 0 s are left     | 0       |
      | knows no upstreams          | reads that 1.5 s are left     | 1.5     |
      | knows another upstream      | reads it unchanged            | 3       |
      | has rules without cold ones | reads that 1.5 s are left     | 0       |

  Scenario Outline: A cold time in an answer that can't be read counts
    Then the cold time "<text>" is read as <seconds>

    Examples:
      | text | seconds |
      | 1500 | 1.5     |
      | 0    | 0.0     |
      | -3   | None    |
      | soon | None    |
      | nan  | None    |
      | 1e30 | None    |

  Scenario Outline: Cold values that can't be read are taken from records
    Then the record value <value> of "<field>" is rejected

    Examples:
      | field             | value  |
      | cold_start_s      | -1     |
      | cold_start_s      | "3"    |
      | cold_per_s        | -0.5   |
      | cold_per_s        | null   |
      | cold_remaining_ms | -1     |
      | cold_remaining_ms | "soon" |
      | cold_remaining_ms | 1e300  |

  Scenario: An entry host sends a replica that has just started ordinary traffic
    Given a platform with the replicas "a" and "b" of each service
    And cold replicas of "till" take 4 requests a second for 3 s
    And an entry host
    When the replica "till-c" comes and callers send 40 requests a second for 2 s
    Then "till-c" got at most 11 requests in any second
    And the callers got 200 each time
