Feature: Hosts are started ahead of their load, at most once for each need
  The plan is pure. The loop runs over a store, a lease and a cloud that fail.

  Scenario: A plan survives the loss of any one data centre
    Then generated plans meet the need without any one data centre, within their limits

  Scenario: A plan is the cheapest that survives
    Then generated small plans cost as little as the best one of an exhaustive search

  Scenario Outline: Never two starts for one need, whatever fails at any step
    Given three data centres and two entry hosts that may provision
    When "<fault>" occurs at every step in turn while 6 hosts are needed
    Then no run started a host twice and each ended with the hosts that it needs

    Examples:
      | fault                    |
      | holder dies              |
      | holder pauses            |
      | cloud reply lost         |
      | cloud down               |
      | store reply lost         |
      | store down               |

  Scenario: Two holders that race for a need write one order
    Then only one of two orders for the same slot is written

  Scenario: A loop without records starts twice after a lost reply
    Then the naive loop over the same faults starts more hosts than needed

  Scenario Outline: Hosts that are lost are replaced
    Given three data centres and two entry hosts that may provision
    When the fleet serves 6 hosts' load and "<event>"
    Then the fleet ends able to lose any one data centre

    Examples:
      | event                                |
      | a reclaim wave hits a data centre    |
      | a data centre is lost                |
      | an offer is refused                  |
      | an offer's price triples             |
      | the list of machines has a gap       |
      | a host without an order appears      |

  Scenario: Hosts are ordered before a rising load arrives
    Then a load that rises steadily finds its hosts live

  Scenario: Running entry hosts start the hosts that the document asks for
    Given a store, a cloud of three data centres and two entry hosts as processes
    When an operator adds a service's limits to the section "hosts"
    Then the cloud runs what survives a lost data centre and never more

  Scenario: The cloud API over HTTP
    Then orders, refusals and old fencing numbers pass through the HTTP adapter
