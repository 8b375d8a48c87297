Feature: A move between versions ends in one verdict
  Entry hosts with the real move controllers share a virtual clock, a store with faults and
  a network that delivers facts late, reordered and with losses.

  Scenario Outline: A version that <fault> is rolled back with its reason
    Given a fleet that moves to a version that <fault>
    When the move runs to its verdict
    Then it is undone because the version was faulty
    And at most 2 in 100 requests went to the version before it was proved
    And no request went to it later than 3 seconds after the first condemnation

    Examples:
      | fault                  |
      | fails at once          |
      | fails later            |
      | is slow at once        |
      | is slow later          |
      | fails on one route     |
      | is slow on one route   |

  Scenario Outline: With less traffic a version that <fault> is rolled back with its reason
    Given a fleet with 8 requests a second that moves to a version that <fault>
    When the move runs to its verdict
    Then it is undone because the version was faulty
    And at most 2 in 100 requests went to the version before it was proved
    And no request went to it later than 3 seconds after the first condemnation

    Examples:
      | fault                  |
      | fails at once          |
      | fails later            |
      | is slow at once        |
      | is slow later          |
      | fails on one route     |
      | is slow on one route   |

  Scenario: Good versions are moved in time
    Given fleets that move to a good version with 1, 8 and 20 requests a second
    When the moves run to their verdicts
    Then each is done before its deadline
    And every host sends requests to the new version

  Scenario Outline: One verdict is written in spite of faults: <fault>
    When a good and a faulty version are moved while <fault> at every step
    Then every move has exactly one verdict that never changes
    And every faulty version is rolled back and every good one is done

    Examples:
      | fault                                    |
      | the decider dies                         |
      | the decider pauses                       |
      | two hosts decide                         |
      | the store is down                        |
      | the store is slow                        |
      | a reply of the store is lost             |
      | a request to the store is lost           |
      | facts are lost                           |
      | the canary hosts die with their evidence |
      | every host is replaced                   |

  Scenario: A decider without compare-and-swap is detected by the same check
    When two hosts decide without compare-and-swap
    Then the check finds a verdict that changed

  Scenario: A store that is down at the deadline leaves traffic on the old version
    Given a fleet that moves to a good version while the store is down past the deadline
    When the deadline has passed
    Then the status says that the store has not stored the verdict
    And no request goes to the new version
    And the move is undone once the store is back

  Scenario: A proved fault stops new requests while the store is down
    Given a fleet that moves to a version that fails later
    When the store goes down before the fault begins
    Then no request goes to it later than 3 seconds after the first condemnation
    And the move is undone once the store is back

  Scenario: A version whose evidence was lost is not proved
    Given a fleet that moves to a good version
    When all hosts are lost at once after most of the window
    Then the move is undone because it was not proved
    And the version never received more than the unproved share

  Scenario: A document edit ends the move in progress
    Given a fleet that moves to a good version
    When the operators remove the move
    Then the move is undone because it was withdrawn
    And no request goes to the new version

  Scenario: A second move of a service waits for the first
    Given a fleet with two moves of one service and one of another
    When the first move and the other service's move are in progress
    Then the second move of the service begins after the first one's verdict

  Scenario: The moved version stays in force until the operators edit it
    Given a fleet that moves to a good version
    When the move runs to its verdict
    Then the new version is in force though the document names the old one
    And an edit of the document's current version puts that one in force
