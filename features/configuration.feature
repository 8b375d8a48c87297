Feature: An accepted change of the document reaches every host and never reverts
  Time is virtual, the network is in memory and the store is a small fake.

  Scenario: A change reaches 7 hosts within 2 seconds
    Given 7 hosts that replicate the document
    When an operator's edit is accepted
    Then all hosts have the change within 2 seconds

  Scenario: A change reaches 60 hosts within 7 seconds with few calls to the store
    Given 60 hosts that replicate the document
    When an operator's edit is accepted
    Then all hosts have the change within 7 seconds
    And the store receives fewer than 40 calls for it

  Scenario: Every fault alone and every pair of faults preserves the guarantees
    Then with every fault and pair of faults each connected host has the change within 7 seconds

  Scenario: The fault matrix detects a feed that only polls the store
    Then with a polling feed the matrix fails for "joined_with_old_view" and "split_from_store"

  Scenario: A host that starts while the store is down loads its peers' document
    Given 7 hosts that replicate the document
    When an operator's edit is accepted
    And the store goes down and a new host starts
    Then the new host has the change within 2 seconds

  Scenario: Status reports done only when every live host has the change
    Given 7 hosts that replicate the document
    When an operator's edit is accepted
    And one host is disconnected from the store and its peers
    Then status reports undone and names that host until it is back

  Scenario: Concurrent edits are not lost
    Then edits of any sections in any interleaving are all applied or refused with both texts

  Scenario: An edit whose reply was lost is recognized
    Then an edit whose reply or request was lost is made exactly once

  Scenario: Only its owner's key may change a section
    Then another key is refused with code 5005 and the owner's key is accepted

  Scenario: Only the difference is sent
    Then a changed line of a section of 200000 bytes is sent in fewer than 1000 bytes

  Scenario: Deltas restore any text
    Then any text is restored from its delta to any other text
