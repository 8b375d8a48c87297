Feature: A request is served end to end
  The real daemons run as separate processes, with small stand-ins around them.

  Scenario: A streamed answer arrives whole through an entry host process
    Given a store, a host list, three engines, two services and two entry hosts as processes
    When a caller asks the entry host "entry-0" for a streamed answer of 20 tokens
    Then the caller receives 20 tokens in order and the end mark

  Scenario: A payment that is sent again at another entry host runs once
    Given a store, a host list, three engines, two services and two entry hosts as processes
    When a caller sends the same payment to "entry-0" and then to "entry-1"
    Then both answers are the same and the second one is marked as replayed

  Scenario: A request without a key is refused with a code
    Given a store, a host list, three engines, two services and two entry hosts as processes
    When a caller without a key asks "entry-0" for an answer
    Then the problem has status 401, code 1003 and ran "no"

  Scenario: An edit of a section is in force at all entry hosts
    Given a store, a host list, three engines, two services and two entry hosts as processes
    When an operator adds a route to the section "routes"
    Then each entry host answers the new route without a restart

  Scenario: Every process ends by itself on SIGTERM
    Given a store, a host list, three engines, two services and two entry hosts as processes
    When all processes get SIGTERM
    Then each of them ends by itself with exit code 0
