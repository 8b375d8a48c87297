Feature: A few entry hosts follow the store for all

  Scenario Outline: Without faults only the relays follow the store
    Given <hosts> hosts in <data_centres> data centres
    When 10 seconds pass for them
    Then <followers> hosts follow the store
    When the store changes and 3 seconds pass
    Then all hosts have the change

    Examples:
      | hosts | data_centres | followers |
      | 7     | 3            | 6         |
      | 73    | 6            | 6         |
      | 380   | 4            | 8         |

  Scenario Outline: The store rejects all relays
    Given <hosts> hosts in <data_centres> data centres
    When 10 seconds pass for them
    And the store rejects its followers
    And the store changes and 10 seconds pass
    Then all hosts have the change
    When the store serves all hosts and 8 seconds pass
    Then at most <followers> hosts follow the store

    Examples:
      | hosts | data_centres | followers |
      | 73    | 6            | 6         |
      | 380   | 4            | 8         |

  Scenario: The store is down for all
    Given 73 hosts in 6 data centres
    When 10 seconds pass for them
    And the store rejects all hosts and 9 seconds pass
    Then at most 30 hosts follow the store
    When the store serves all hosts and 8 seconds pass
    Then at most 6 hosts follow the store

  Scenario Outline: Large rules do not arrive in time behind slow links
    Given <hosts> hosts in <data_centres> data centres with links of 10 Mbit/s
    When the store gets rules with <routes> routes and <seconds> seconds pass
    Then all hosts have the rules

    Examples:
      | hosts | data_centres | routes | seconds |
      | 85    | 6            | 50     | 4       |
      | 85    | 6            | 1450   | 4       |
      | 85    | 6            | 5000   | 4       |

  Scenario: A download of rules continues at another host
    Given two hosts with the same rules of 3000 routes
    When a host downloads a part from one and the others from the second
    Then it has the rules after as many parts as from one host

  Scenario: A damaged part of rules is not put in effect
    Given two hosts with the same rules of 3000 routes
    When a host downloads the rules and one part is damaged
    Then the download is rejected and begins again

  Scenario: Hosts of an earlier version get the rules whole
    Given 7 hosts in 3 data centres with links of 10 Mbit/s
    When a host of an earlier version asks for rules with 50 routes
    Then it is sent the whole content and no parts
