Feature: The store stand-in injects the faults of the platform's service
  Every test of a failure rests on these faults, so each is shown to do what it says.

  Scenario Outline: A fault strikes a write as told
    Given a faulty store over a store in memory
    When the fault "<fault>" strikes the next write
    Then the write ends as "<end>" and the key is "<key>"
    And the write after it succeeds
    And 2 calls of "txn" are counted

    Examples:
      | fault        | end         | key     |
      | down         | unavailable | absent  |
      | reply_lost   | unclear     | present |
      | request_lost | unclear     | absent  |
      | slow         | applied     | present |

  Scenario: A silent watch stays silent while a new one works
    Given a faulty store over a store in memory
    When a watch goes silent and a key is written
    Then that watch delivers nothing even after the fault has ended
    And a new watch delivers the key

  Scenario: A lapsed lease takes its keys along
    Given a faulty store over a store in memory
    When the lease of a key lapses at its renewal
    Then the renewal reports no time left and the key is gone

  Scenario: A watch from a compacted revision ends
    Given a store in memory that keeps 10 events
    When 30 keys are written
    Then a watch from the first revision ends with an error
    And a watch from the last revision delivers it

  Scenario: The process injects the same faults over HTTP
    Given a process of the store stand-in
    When its control is told that the reply of the next write is lost
    Then a client's write is unclear and its key is present
    When its control is told that the store is down
    Then a client's read is refused
    When its control is told to end all faults
    Then a client's read succeeds and the control tells the counted calls

  Scenario: A client's lease over HTTP lapses by order
    Given a process of the store stand-in
    When a client writes a key with a lease and the control lapses all leases
    Then the client's renewal reports no time left and the key is gone
