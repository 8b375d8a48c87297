Feature: The upstream host with the lowest expected cost is chosen
  Choices are pure: hosts, knowledge, time and random source are given.

  Scenario: A choice never takes a host that may not be used
    Then no drawn choice takes a leaving, tried, wrong or overloaded host

  Scenario: A host is found whenever one is left
    Then every drawn choice finds a host exactly when one may be used

  Scenario: Entry hosts with the same view name the same owners
    Then drawn views agree on owners whatever order their hosts came in

  Scenario: A lost host moves only the conversations that it owned
    Then removing a drawn host keeps the first owner of all other keys

  Scenario Outline: Knowledge that is late, lost or wrong costs time but no promise
    Given 9 engines and the fault "<fault>"
    When 200 choices are made under the fault
    Then each of them takes a usable host and the load stays spread

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

  Scenario: The fewest requests in progress alone send work to a leaving host
    Then the older choice takes a host that is leaving by a fact, the new one not

  Scenario: A conversation returns to the host that has its prefix
    Then a second turn at another entry host goes to the first turn's host

  Scenario: A composition may wait where a headline may not
    Then with a busy cheap host the headline avoids it and the composition takes it

  Scenario: An adapter is asked only of hosts that have it loaded
    Then a request for an adapter takes the one host that has it

  Scenario: Cost at the target beats the baselines in a short run
    Then at a rate that no baseline holds the expected cost holds the target
