Feature: A store that answers nothing for a short time

  Scenario Outline: A change after a short silence is not in effect in time
    Given <hosts> hosts in <data_centres> data centres that watch the store
    When the store changes and is silent for 1.5 seconds from 0.1 seconds later
    And the store changes once more
    And <seconds> seconds pass for the fleet
    Then all hosts of the fleet have the rules

    Examples:
      | hosts | data_centres | seconds |
      | 7     | 3            | 2.5     |
      | 195   | 6            | 4       |
      | 380   | 4            | 4       |

  Scenario Outline: Relays to which the store is silent are not replaced
    Given <hosts> hosts in <data_centres> data centres that watch the store
    When the store is silent to its followers for 30 seconds
    And the store changes once more
    And 10 seconds pass for the fleet
    Then all hosts of the fleet have the rules

    Examples:
      | hosts | data_centres |
      | 7     | 3            |
      | 195   | 6            |
      | 380   | 4            |

  Scenario Outline: The calls to the store grow with the number of hosts
    Given <hosts> hosts in <data_centres> data centres that watch the store
    When 10 seconds pass for the fleet
    Then its watches have made at most <calls> calls in these seconds

    Examples:
      | hosts | data_centres | calls |
      | 7     | 3            | 100   |
      | 195   | 6            | 100   |
      | 380   | 4            | 134   |

  Scenario: Silences that came before delay the next change
    Given 1 hosts in 1 data centres that watch the store
    When the store is silent for 0.5 seconds 8 times in a row
    And the store changes and is silent for 0.5 seconds from 0.1 seconds later
    And the store changes once more
    And 2.5 seconds pass for the fleet
    Then all hosts of the fleet have the rules
