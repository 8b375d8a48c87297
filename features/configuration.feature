Feature: An accepted change of the document is in force everywhere and never reverts
  Time is virtual, the network is in memory and the store is a small fake.

  Scenario: A change reaches 7 hosts within 2 seconds
    Given 7 hosts that follow the document
    When an operator's edit is accepted
    Then all hosts have the change within 2 seconds

  Scenario: A change reaches 60 hosts within 7 seconds with few calls to the store
    Given 60 hosts that follow the document
    When an operator's edit is accepted
    Then all hosts have the change within 7 seconds
    And the store takes fewer than 40 calls for it

  Scenario: Every fault alone and every pair of faults keeps the promises
    Then with every fault and pair of faults each reachable host follows within 7 seconds

  Scenario: The matrix finds the faults of a feed that only polls the store
    Then with a polling feed the matrix fails for "joined_with_old_view" and "split_from_store"

  Scenario: A host that starts while the store is down takes its peers' document
    Given 7 hosts that follow the document
    When an operator's edit is accepted
    And the store goes down and a new host starts
    Then the new host has the change within 2 seconds

  Scenario: Status tells done only when every live host has the change
    Given 7 hosts that follow the document
    When an operator's edit is accepted
    And one host is cut off from the store and its peers meanwhile
    Then status tells undone and names that host until it is back

  Scenario: Racing operators lose nothing
    Then edits of any sections in any interleaving are all kept or refused with both texts

  Scenario: An edit whose reply was lost is recognized
    Then an edit whose reply or request was lost is made exactly once

  Scenario: A section is changed by its owner's key alone
    Then another key is refused with code 5005 and the owner's key is taken

  Scenario: Only the difference travels
    Then a changed line of a section of 200000 bytes travels in fewer than 1000 bytes

  Scenario: Deltas restore any text
    Then any text is restored from its delta to any other text
