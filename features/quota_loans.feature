Feature: Entry hosts lend each other parts of a customer's quota

  Scenario Outline: A customer within its quota is refused, since hosts' shares are small
    Given <hosts> hosts share a quota of <rate> tokens a second
    When a customer asks for <multiple> times its quota in requests of about <tokens>
    Then at most 1 in 1000 requests is refused
    And the permitted use is not exceeded

    Examples:
      | hosts | rate   | tokens | multiple |
      | 7     | 100000 | 5000   | 0.8      |
      | 195   | 100000 | 5000   | 0.8      |
      | 380   | 100000 | 5000   | 0.8      |
      | 80    | 100000 | 5000   | 0.9      |
      | 7     | 12000  | 4500   | 0.8      |
      | 195   | 12000  | 4500   | 0.8      |
      | 380   | 12000  | 4500   | 0.8      |

  Scenario Outline: Demand moves from host to host
    Given <hosts> hosts share a quota of 100000 tokens a second
    When a customer's demand of 0.7 times its quota moves between hosts each 4 seconds
    Then at most 1 in 1000 requests is refused
    And the permitted use is not exceeded

    Examples:
      | hosts |
      | 7     |
      | 195   |

  Scenario Outline: Many hosts deliver less than the quota to a customer that asks for more
    Given <hosts> hosts share a quota of <rate> tokens a second
    When a customer asks for 5 times its quota in requests of about 4500
    Then it gets at least its quota
    And the permitted use is not exceeded

    Examples:
      | hosts | rate   |
      | 7     | 100000 |
      | 195   | 100000 |
      | 380   | 100000 |
      | 195   | 12000  |
      | 380   | 12000  |

  Scenario: Requests that several lenders refuse count several times as demand
    Given 195 hosts share a quota of 72000 tokens a second
    When a customer asks for 1.3 times its quota in requests of about 6000
    Then each request counts once in the customer's demand of 1.3

  Scenario Outline: Some hosts are cut off from the others while a customer's demand jumps
    Given <hosts> hosts share a quota of 300000 tokens a second
    When a third of them is cut off and the demand rises from 0.5 to <multiple>
    Then the permitted use is not exceeded

    Examples:
      | hosts | multiple |
      | 7     | 1.5      |
      | 7     | 4        |
      | 195   | 4        |

  Scenario Outline: An owner of a quota ends and starts again while the demand jumps
    Given <hosts> hosts share a quota of 100000 tokens a second
    When all its owners restart while the demand is <before> and then <after>
    Then the permitted use is not exceeded

    Examples:
      | hosts | before | after |
      | 195   | 0.5    | 0.5   |
      | 195   | 0.5    | 5     |
      | 195   | 5      | 5     |

  Scenario Outline: All hosts restart
    Given <hosts> hosts share a quota of <rate> tokens a second
    When all hosts restart at <before> times the quota and the demand is then <after>
    Then the permitted use is not exceeded
    And at most <refused> in 1000 requests is refused

    Examples:
      | hosts | rate   | before | after | refused |
      | 7     | 100000 | 0.5    | 0.5   | 1       |
      | 195   | 100000 | 0.5    | 0.5   | 1       |
      | 195   | 12000  | 0.5    | 0.5   | 1       |
      | 195   | 100000 | 0.5    | 8     | 1000    |
      | 195   | 12000  | 0.5    | 8     | 1000    |
      | 195   | 100000 | 5      | 5     | 1000    |

  Scenario Outline: A loan that can't be one is refused
    Given 7 hosts share a quota of 100000 tokens a second
    When a peer asks a host for a loan of <units>
    Then it is refused with code 4004 and nothing is lent

    Examples:
      | units    |
      | nan      |
      | -5000    |
      | infinity |
      | garbage  |
