Feature: At most one holder of a lease acts, wherever it pauses
  Time is virtual; a holder pauses before any one of its operations.

  Scenario: A pause of any length before any operation breaks no promise
    Then for each pause of the holder no two holders may act at the same time
    And an engine that checks fencing numbers never goes back to an older holder's order
    And an engine that ignores them ends in the newest holder's state

  Scenario: The pauses find a lease without a local deadline
    Then with a lease that trusts its last renewal two holders act at the same time

  Scenario: Store faults together with pauses break no promise
    Then for each store fault and each pause no two holders may act at the same time

  Scenario: A lease that was given back is taken over without a wait
    Given a lease that one process holds
    When the holder gives the lease back and another process takes it
    Then the other process may act at once with a higher fencing number

  Scenario: A lease that lapsed is taken over after the longest order
    Given a lease that one process holds
    When the holder is killed and another process takes the lease
    Then the other process acts only after the old deadline and the longest order

  Scenario: The example program embeds the parts without the daemon
    Then the example "embed_coordination.py" ends with "second holds the lease"

  Scenario: A process that is no candidate any more gives the lease back
    Given a lease that one process holds
    When the holder runs on without being a candidate
    Then another process takes the lease and may act at once
