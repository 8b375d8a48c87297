Feature: The platform favours no customer
  Under overload requests start in weighted fair order of tokens.

  Scenario: Backlogged customers get tokens by their weights
    Then any two backlogged customers differ by a bounded number of tokens per weight

  Scenario: Every waiting request has exactly one outcome
    Then each generated request is started, shed, expired or discarded exactly once

  Scenario: A customer that floods the queue loses its own requests
    When a large customer fills a queue of 20 requests and a small one sends one
    Then the shed request is the large customer's and the small one starts next

  Scenario: Urgent requests of one customer don't delay another customer for long
    When a customer sends 200 urgent requests and another one sends one normal request
    Then the other customer's request starts within the head start of a priority

  Scenario: Requests wait for their turn in the entry host and are shed as not run
    Given fair admission with capacity for 1 request and a queue of 3
    When one request runs and 5 more of the same customer arrive
    Then 2 of them are refused with code 2001 and ran "no"
    And the others run one after the other when the first one ends

  Scenario: A request whose caller disconnected leaves the queue
    Given fair admission with capacity for 1 request and a queue of 3
    When one request runs and the caller of a waiting request disconnects
    Then no request waits and the next one is admitted

  Scenario: Batch requests leave capacity for others
    Given fair admission with capacity for 2 requests and for 1 batch request
    When 3 batch requests arrive and then an ordinary one
    Then 1 batch request runs beside the ordinary one
