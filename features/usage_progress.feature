Feature: Usage that is not reported yet outlives all entry hosts

  Scenario Outline: All entry hosts are killed before a window was reported
    Given 3 entry hosts that counted requests in a window
    And the window ended <ended> seconds ago
    When all of them are killed and the duties are taken over by a new process
    Then the window is reported once with all its requests

    Examples:
      | ended |
      | 0.5   |
      | 1.5   |

  Scenario: Counts of a process that lives on are added twice
    Given 3 entry hosts that counted requests in a window
    And the window ended 1.5 seconds ago
    When the holder is killed and another host takes over the duties
    Then the window is reported once with all its requests

  Scenario: A former holder overwrites the counts of its successor
    Given 3 entry hosts that counted requests in a window
    And the window ended 1.5 seconds ago
    When the holder is paused, another takes over, and the first one saves again
    Then the saved counts are those of the successor

  Scenario: Saved counts are damaged
    Given 3 entry hosts that counted requests in a window
    When the saved counts are damaged and another host takes over the duties
    Then it counts a damaged record and goes on

  Scenario: A window is reported by hosts that cannot know that it was reported before
    Given 3 entry hosts that counted requests in a window
    And the holder has taken over the duties in the first era
    And the window ended 2.5 seconds ago
    When it is reported, the store loses its counts, and more requests become known
    And all of them are killed and a new process takes over in a later era
    Then the next window is reported as usual
    And the window was reported once

  Scenario: A window that a dead holder reported is counted again by its successor
    Given 3 entry hosts that counted requests in a window
    And the holder has taken over the duties in the first era
    And the window ended 2.5 seconds ago
    When it is reported, the holder dies, and a successor takes over in the same era
    And the store loses its counts, and the successor takes over again in a later era
    Then every report of the window has the same counts

  Scenario: A window is left out though its last holder tells that it did not report it
    Given 3 entry hosts that counted requests in a window
    And the holder has taken over the duties in the first era
    And the window ended 0.5 seconds ago
    When the store comes back and another host takes over in a later era
    Then the window is reported once with all its requests

  Scenario Outline: A window is reported with other counts after the store lost the first
    Given 3 entry hosts that counted requests in a window
    And the window ended 2.5 seconds ago
    When it is reported, the store loses its counts, and more requests become known
    And <successor>
    Then every report of the window has the same counts

    Examples:
      | successor                                                              |
      | the same process takes over the duties again                           |
      | another host takes over the duties and hears of the first one's counts |

  Scenario: Counts of the newest window are dropped for older ones in a copy of the store
    Given a host that knows the final counts of windows 101 to 108
    When it finds those of windows 100 to 107 in a copy of the store
    Then it still knows the counts of window 108
