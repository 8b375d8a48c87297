Feature: A store that comes back from an older copy of itself

  Background:
    Given two entry hosts and a store of which a copy was taken

  Scenario: Changes after the store came back are not followed
    When operators add a route and the store comes back from the copy
    And operators write their rules again and add another route
    Then both hosts have the newest rules within 2.5 seconds
    And the hosts call the store at most 20 times a second

  Scenario: Rules of the copy replace newer ones
    When operators add a route and the store comes back from the copy
    Then no host goes back to the older rules in 3 seconds
    When operators write the older rules again and then the newer ones
    Then no host goes back to the older rules in 1 second

  Scenario: No host holds the duties after the store came back
    When the store comes back from the copy
    Then usage is reported again within 10 seconds with a higher fencing number
    And no number is used by two holders

  Scenario: Changes after two restores in a row are not followed
    When the store comes back from the copy twice
    And operators add a route
    Then both hosts have the newest rules within 2.5 seconds
    And usage is reported again within 10 seconds with a higher fencing number

  Scenario: An upstream that has left is used again
    When an upstream leaves and the store comes back from the copy
    Then no host knows that upstream as live in 3 seconds

  Scenario: An upstream that had begun to leave is used again
    When an upstream begins to leave and the store comes back from the copy
    Then no host knows that upstream as live in 3 seconds

  Scenario: An upstream that came after the copy is not known
    When an upstream comes and the store comes back from the copy
    And that upstream writes its record again after 1.5 seconds
    Then all hosts have known it all the time

  Scenario: An upstream that came after the copy and fell silent stays
    When an upstream comes and the store comes back from the copy
    Then no host knows that upstream after 4 seconds

  Scenario Outline: An order for a move becomes another order
    When operators order a move <moment> and the store comes back from it
    And operators write the order again if it is lost
    Then both hosts still know the same order

    Examples:
      | moment          |
      | before the copy |
      | after the copy  |

  Scenario: A host that starts takes the older rules of the copy
    When operators add a route and the store comes back from the copy
    And a third host starts
    Then all hosts have the added route within 2.5 seconds
    And no host goes back to the older rules in 2 seconds
