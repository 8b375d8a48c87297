Feature: The upstream host with the lowest expected cost is chosen
  Choices are pure functions of hosts, estimates, time and random source.

  Scenario: A choice never selects an unusable host
    Then no generated choice selects a leaving, tried, wrong-version or overloaded host

  Scenario: A host is found whenever a usable one is left
    Then every generated choice finds a host exactly when one may be used

  Scenario: Entry hosts with the same view compute the same owners
    Then generated views agree on owners whatever the order of their hosts

  Scenario: The loss of a host moves only the conversations that it owned
    Then removing a generated host keeps the first owner of all other keys

  Scenario Outline: State that is late, lost or wrong costs time but breaks no guarantee
    Given 9 engines and the fault "<fault>"
    When 200 choices are made under the fault
    Then each of them selects a usable host and the load stays spread

    Examples:
      | fault                        |
      | no load reports              |
      | load reports an hour old     |
      | load reports from the future |
      | cache events lost            |
      | cache events twice           |
      | caches cleared unnoticed     |
      | host list old                |
      | notices for a data centre    |
      | no random spread             |

  Scenario: Choosing by requests in progress alone sends work to a leaving host
    Then the older choice selects a host reported as leaving, the new one does not

  Scenario: A conversation returns to the host that has its prefix cached
    Then a second turn at another entry host goes to the first turn's host

  Scenario: A batch request may wait where an urgent one may not
    Then an urgent request avoids a busy cheap host and a batch request selects it

  Scenario: A request for an adapter goes only to a host that has it loaded
    Then a request for an adapter selects the one host that has it

  Scenario: Choice by expected cost beats the baselines at the target in a short run
    Then at a rate where no baseline meets the target the expected cost meets it
