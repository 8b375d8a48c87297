Feature: One entry host does the platform's duties for all

  Scenario Outline: Usage is reported once with the same counts
    Given the usage of a window is due
    When the report goes out while <trouble>
    And a successor reports it again after more counts have come in
    Then every report of the window had the same counts

    Examples:
      | trouble                             |
      | nothing is wrong                    |
      | the platform's answer is lost       |
      | the answer to the write is lost     |
      | the write to the store is refused   |

  Scenario: A holder that was superseded stops
    Given the usage of a window is due
    When another host has reported with a higher number
    Then the holder gives up its lease

  Scenario: A new holder waits for the hosts' counts
    Given the usage of a window is due
    And the duties have just been taken
    Then nothing is reported before the hosts had time to report

  Scenario: A new holder keeps the upstream hosts that the load needs
    Given a fleet that keeps 24 upstream hosts busy in 6 data centres
    When another host takes the duties and has heard of 4 busy hosts yet
    Then it orders no fewer hosts than there were
    When the load stays that low for 60 seconds
    Then it orders fewer hosts

  Scenario Outline: The fleet's record is kept until more is known
    Given the record of a fleet that keeps 24 upstream hosts busy
    When a holder that has known the fleet for <age> seconds sees 4 busy hosts
    Then the record tells of <busy> busy hosts

    Examples:
      | age | busy |
      | 2   | 24   |
      | 6   | 4    |

  Scenario: A fleet that starts has hosts for what its customers usually ask for
    Given a fleet of 6 data centres whose customers may use 4 million tokens a second
    When nobody has asked for anything for 20 seconds
    Then as many hosts as serve 2.4 million tokens a second are ordered
    When requests keep 4 hosts busy for 90 seconds
    Then it orders the fewest hosts

  Scenario: A mirror never goes back
    Given a mirror of a prefix
    When peers and the store tell it of changes in any order
    Then its revision only grows and its content is that of the revision

  Scenario: A mirror survives a dropped history
    Given a mirror of a prefix
    When the history is dropped while it does not look
    Then it reads everything again and has the newest content

  Scenario: Counts of processes that ended reach a new holder
    Given three hosts that report to a holder
    When one host ends and then the holder is killed
    Then the next holder knows the counts of both

  Scenario: A host that was suspended goes on to report
    Given three hosts that report to a holder
    When each is suspended while it reports
    Then each host still gets a view
