Feature: The holder of the duties is lost beside a store that comes back from a copy

  Scenario Outline: A window is reported with other counts by the successor of a lost holder
    Given <plays> plays of <count> hosts that report usage
    When the holder is lost 0 to 5 seconds after a report and <successor>
    And the store comes back from copies of various ages
    Then no window is reported with different counts
    And all windows that end after the last copy are reported

    Examples:
      | plays | count | successor                               |
      | 14    | 2     | its deputy remains                      |
      | 21    | 7     | its deputy remains                      |
      | 35    | 2     | all other hosts are restarted           |
      | 14    | 7     | a host starts and is lost as the holder |
      | 14    | 7     | its deputy is cut off from all others   |
      | 1     | 195   | its deputy remains                      |

  Scenario: A window is left out though its last holder tells that it was not reported
    Given 21 plays of 7 hosts that report usage
    When the holder remains
    And the store comes back once from a copy of various ages
    Then no window is reported with different counts
    And every window is reported

  Scenario: A holder of an earlier build is believed to have told all its counts
    Given 14 plays of 7 hosts that report usage
    And the holders' build tells no era of the store
    When the holder is lost 0 to 5 seconds after a report and its deputy remains
    And the store comes back from copies of various ages
    Then no window is reported with different counts
    And all windows that end after the last copy are reported

  Scenario: A host of an earlier build believes a holder that has not told all its counts
    Given 1 plays of 7 hosts that report usage
    Then the earlier build reads no number of the holder in its report
    When the holder remains
    And the store comes back once from a copy of various ages
    Then the earlier build reads the number of the first holder in its report
