Feature: Races between readers and writers of the store leave a consistent state
  Each scenario lets another host or operator act between one part's read and its write.

  Scenario: Hosts that decide about a move at the same time leave one verdict
    Then whatever hosts read, write, lose and repeat, the first verdict of a move stands

  Scenario: An edit whose reply was lost and that was overwritten meanwhile is accepted
    Given a stored document and an operator whose reply is lost
    When another operator replaces the same section before the first one reads back
    Then the first operator receives the revision of the accepted edit

  Scenario: An older document that arrives late is not applied
    Given a host that has applied the second revision of a document
    When the first revision arrives once more
    Then the second revision stays in force at the host
