Feature: At most one holder of a lease acts, wherever it pauses
  Time is virtual; a holder pauses before any one of its operations.

  Scenario: A pause of any length before any operation never lets two holders act at once
    Then for each pause of the holder no two holders may act at the same time
    And an engine that checks fencing numbers rejects an older holder's orders
    And an engine that ignores them ends in the newest holder's state

  Scenario: The pauses expose a lease without a local deadline
    Then with a lease that trusts its last renewal two holders act at the same time

  Scenario: Store faults combined with pauses never let two holders act at once
    Then for each store fault and each pause no two holders may act at the same time

  Scenario: A released lease is acquired without a wait
    Given a lease that one process holds
    When the holder releases the lease and another process acquires it
    Then the other process may act at once with a higher fencing number

  Scenario: An expired lease is usable only after the longest order
    Given a lease that one process holds
    When the holder is killed and another process acquires the lease
    Then the other process acts only after the old deadline and the longest order

  Scenario: The example program embeds the parts without the daemon
    Then the example "embed_coordination.py" ends with "second holds the lease"

  Scenario: A process that is no candidate any more releases the lease
    Given a lease that one process holds
    When the holder continues without being a candidate
    Then another process acquires the lease and may act at once
