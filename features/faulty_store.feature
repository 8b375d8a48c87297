Feature: The store stand-in injects the faults of the platform's service
  All failure tests rely on these faults, so each is checked to do what it says.

  Scenario Outline: A fault affects a write as configured
    Given a faulty store over an in-memory store
    When the fault "<fault>" is injected into the next write
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
    Given a faulty store over an in-memory store
    When a watch goes silent and a key is written
    Then that watch delivers nothing even after the fault has ended
    And a new watch delivers the key

  Scenario: A lapsed lease deletes its keys
    Given a faulty store over an in-memory store
    When the lease of a key lapses at its renewal
    Then the renewal reports no time left and the key is gone

  Scenario: A watch from a compacted revision ends
    Given an in-memory store that retains 10 events
    When 30 keys are written
    Then a watch from the first revision ends with an error
    And a watch from the last revision delivers it

  Scenario: The process injects the same faults over HTTP
    Given a process of the store stand-in
    When its control interface is set to lose the reply of the next write
    Then a client's write is unclear and its key is present
    When its control interface is set to take the store down
    Then a client's read is refused
    When its control interface is set to clear all faults
    Then a client's read succeeds and the control interface reports the counted calls

  Scenario: A client's lease over HTTP lapses on request
    Given a process of the store stand-in
    When a client writes a key with a lease and the control interface lapses all leases
    Then the client's renewal reports no time left and the key is gone
