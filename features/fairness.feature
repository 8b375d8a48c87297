Feature: The platform favours no customer
  Under overload requests start in weighted fair order of tokens.

  Scenario: Backlogged customers get tokens by their weights
    Then any two backlogged customers differ by a bounded number of tokens per weight

  Scenario: Every waiting request comes to exactly one end
    Then each generated request is started, shed, expired or discarded exactly once

  Scenario: A customer that floods the queue loses its own requests
    When a large customer fills a queue of 20 requests and a small one asks once
    Then the shed request is the large customer's and the small one starts next

  Scenario: Urgent requests of one customer don't hold back another customer for long
    When a customer asks urgently 200 times and another one asks normally once
    Then the other customer's request starts within the head start of a priority

  Scenario: Requests wait for their turn in the entry host and are shed as not run
    Given a fair gate with room for 1 request and a queue of 3
    When one request runs and 5 more of the same customer arrive
    Then 2 of them are refused with code 2001 and ran "no"
    And the others run one after the other when the first one ends

  Scenario: A request whose caller left gives up its place
    Given a fair gate with room for 1 request and a queue of 3
    When one request runs and the caller of a waiting request leaves
    Then nobody waits and nothing is left behind

  Scenario: Batch requests leave room for others
    Given a fair gate with room for 2 requests and for 1 of a batch
    When 3 batch requests arrive and then an ordinary one
    Then 1 batch request runs beside the ordinary one
