Feature: One entry host performs the platform's duties for all hosts

  Scenario Outline: Usage is reported once with the same counts
    Given the usage of a window is due
    When the report is sent while <trouble>
    And a successor reports it again after more counts have arrived
    Then every report of the window had the same counts

    Examples:
      | trouble                             |
      | nothing is wrong                    |
      | the platform's answer is lost       |
      | the answer to the write is lost     |
      | the write to the store is refused   |

  Scenario: A lease holder that was superseded stops
    Given the usage of a window is due
    When another host has reported with a higher number
    Then the holder gives up its lease

  Scenario: A new lease holder waits for the hosts' counts
    Given the usage of a window is due
    And the duties have just been taken over
    Then nothing is reported before the hosts had time to report

  Scenario: A new lease holder retains the upstream hosts that the load needs
    Given a fleet that keeps 24 upstream hosts busy in 6 data centres
    When another host takes over the duties and has reports of only 4 busy hosts so far
    Then it orders no fewer hosts than there were
    When the load stays that low for 60 seconds
    Then it orders fewer hosts

  Scenario Outline: The fleet's record stays until enough reports have arrived
    Given the record of a fleet that keeps 24 upstream hosts busy
    When a holder that has had the fleet's demand for <age> seconds counts 4 busy hosts
    Then the record states <busy> busy hosts

    Examples:
      | age | busy |
      | 2   | 24   |
      | 6   | 4    |

  Scenario: A fleet that starts has hosts for the usual demand of its customers
    Given a fleet of 6 data centres whose customers may use 4 million tokens a second
    When no request has arrived for 20 seconds
    Then as many hosts as serve 2.4 million tokens a second are ordered
    When requests keep 4 hosts busy for 90 seconds
    Then it orders the minimum number of hosts

  Scenario Outline: Hosts of the proved version are given back in the middle of a move
    Given a fleet that keeps 8 upstream hosts busy in 3 data centres
    And at most <most> hosts may run in each of them
    And a move starts 4 hosts of an unproved version in each of them
    When requests keep 8 hosts busy for 20 seconds
    Then all 8 hosts of the old version in each of them remain
    And the 4 hosts of the unproved version in each of them remain
    When requests keep 1 hosts busy for 40 seconds
    Then all 8 hosts of the old version in each of them remain
    When the move is over and 20 seconds pass
    Then it orders the minimum number of hosts

    Examples:
      | most |
      | 30   |
      | 12   |
      | 8    |

  Scenario: Hosts are given back before the lease holder has heard of a move
    Given a fleet that keeps 8 upstream hosts busy in 3 data centres
    And at most 12 hosts may run in each of them
    And a move starts 8 hosts of an unproved version in each of them
    And the lease holder has not heard of the move
    When requests keep 6 hosts busy for 2 seconds
    And the lease holder hears of the move
    And requests keep 6 hosts busy for 20 seconds
    Then all 8 hosts of the old version in each of them remain

  Scenario: A full data centre loses all on-demand hosts when a move ends
    Given a fleet that keeps 4 upstream hosts busy in 3 data centres
    And at most 4 hosts may run in each of them
    And a move starts 4 hosts of an unproved version in each of them
    When the new version takes over and 40 seconds pass
    Then at least 3 hosts ran in each of them all the while

  Scenario: A mirror never reverts to an older revision
    Given a mirror of a prefix
    When peers and the store send it changes in any order
    Then its revision only grows and its content is that of the revision

  Scenario: A mirror recovers from a compacted history
    Given a mirror of a prefix
    When the history is compacted while it is not watching
    Then it reads everything again and has the newest content

  Scenario: Counts of processes that ended reach a new holder
    Given three hosts that report to a holder
    When one host stops and then the holder is killed
    Then the next holder has the counts of both

  Scenario: A host that was suspended resumes its reports
    Given three hosts that report to a holder
    When each is suspended while it reports
    Then each host still receives a view

  Scenario: Upstream hosts that limit their requests count as whole capacity
    Given a fleet that keeps 8 upstream hosts busy in 3 data centres
    When 3 hosts of one data centre limit their requests for 10 seconds
    Then 3 more hosts run in that data centre

  Scenario: Upstream hosts of an evacuated data centre count as capacity
    Given a fleet that keeps 8 upstream hosts busy in 3 data centres
    When requests keep 8 hosts busy for 10 seconds
    And operators evacuate "dc-0" for 20 seconds
    Then the others serve 8 busy hosts and nothing is ordered there
