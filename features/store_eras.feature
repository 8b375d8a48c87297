Feature: Revisions and leases that the platform's store gives out a second time

  Background:
    Given a client of the platform's store

  Scenario: A write goes through because its revision stands for another change now
    Given a key that was written after a copy was taken
    When the store comes back from the copy and another host writes as often
    Then a write under the condition of the old revision fails
    And the key has the content of the other host

  Scenario: A write is taken for a success though the store came back meanwhile
    Given a key that was written after a copy was taken
    When the store comes back from the copy and another host writes as often unnoticed
    Then a write under the condition of the old revision is told as unclear

  Scenario: A lease that was given out again is renewed for its former holder
    Given a lease that was granted after a copy was taken
    When the store comes back from the copy and grants the same lease to another host
    Then the lease counts as ended for its former holder
    And giving it back leaves the other host's key in place

  Scenario: A lock whose answer was lost is found in the copy
    Given a lock that is taken without an answer before a copy is taken
    When the store comes back from the copy while the holder reads its nonce back
    Then the holder has a fencing number above all of the era before

  Scenario: Two holders get the same fencing number
    Then fencing numbers grow over three eras in which the store counts alike

  Scenario: A watch goes on from a revision that stands for another change now
    Given a watch that has seen a change after a copy was taken
    When the store comes back from the copy and another host writes as often
    Then the watch ends, since its history is gone

  Scenario Outline: An answer tells no readable era
    When the store is read in era 2 and then answers with the era "<text>"
    Then what it answers counts as of era 2

    Examples:
      | text        |
      |             |
      | two         |
      | -1          |
      | 1e3         |
      | 99999999999 |

  Scenario: An answer of an era that has passed is taken for the store's word
    When the store is read in era 2 and then answers with the era "1"
    Then a read fails as unavailable and a write as unclear

  Scenario: A store that tells no era
    When the store answers without an era
    Then revisions are those that the store gave

  Scenario Outline: A host that is ahead of the others keeps the copy's older rules
    Given a host with rules of <routes> routes that the copy lacks, at revision 85
    And a host that has read the copy only, at revision <revision>
    When the second host asks the first one and then the first the second
    Then both hosts have the rules that the copy lacks

    Examples:
      | routes | revision |
      | 3      | 84       |
      | 3      | 85       |
      | 3      | 90       |
      | 3000   | 90       |
