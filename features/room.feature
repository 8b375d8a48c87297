Feature: Room for requests at upstreams that tell the pace of their work

  Scenario Outline: Callers of three urgencies ask for more than there is room for
    When callers ask an overloaded service for <load> times what it can do, seed <seed>
    Then more calls are in time than by the former decision
    And urgent calls are in time at least <urgent> in 100
    And at most <cut> in 100 calls run into their deadline
    And each kind is served at least <least> in 100
    And the large calls of each kind are served at least half as often as the kind
    And no refused call waited longer than an eighth of its target
    And nobody asks more than twice

    # At 2.5 urgent calls leave room for 9 in 100 digests.
    Examples:
      | load | seed | urgent | cut | least |
      | 1.2  | 1    | 95     | 2   | 85    |
      | 1.2  | 2    | 95     | 2   | 85    |
      | 1.6  | 1    | 95     | 2   | 50    |
      | 1.6  | 2    | 95     | 2   | 50    |
      | 2.5  | 1    | 95     | 8   | 10    |
      | 2.5  | 2    | 95     | 8   | 10    |

  Scenario: Many large calls that are not urgent come beside urgent ones
    When a flood of digests comes beside chat, seed 3
    Then more calls are in time than by the former decision
    And urgent calls are in time at least 95 in 100
    And at most 2 in 100 calls run into their deadline

  Scenario: A burst of 3 seconds
    When callers ask for twice what a service can do for 3 seconds, seed 4
    Then more calls are in time than by the former decision
    And at most 2 in 100 calls run into their deadline
    And no refused call waited longer than an eighth of its target

  Scenario: One customer asks for 7.5 times its usual
    When one of 12 customers asks for 7.5 times its usual, seed 5
    Then the other customers are in time more often than by the former decision
    And the other customers are in time more often than that customer
    And that customer is served at least 40 in 100

  Scenario: A third of the upstreams is lost at once
    When a third of a service's upstreams is lost at once, seed 6
    Then more calls are in time than by the former decision
    And urgent calls are in time at least 90 in 100

  Scenario: Small load is served as if nobody decided
    When callers ask an overloaded service for 0.5 times what it can do, seed 7
    Then no call was refused and none waited

  Scenario: A refusal names a time within what callers wait for
    Then refused callers are told to come back over a span, the urgent ones sooner

  Scenario: A caller that repeats at once gains nothing
    Then only callers that waited after a refusal count as having returned

  Scenario: Admitted requests all take the best of many upstreams
    When a request is late at the first upstream chosen and there is room to spare
    Then it is admitted there

  Scenario: A waiting request leaves at once when its caller does
    Given an upstream that has no room for a while
    When the caller of a waiting request leaves
    Then the wait ends as a caller that has gone

  Scenario: The most urgent waiting request goes first
    Given an upstream that has no room for a while
    When a less urgent and then an urgent request wait for room that comes
    Then the urgent one is sent first

  Scenario: Waiting requests never take the threads of others
    Given an upstream that has no room for a while
    When most threads of the entry host are in use
    Then a request is refused without a wait

  Scenario: A full upstream is not asked again while others have room
    When an upstream of two refuses a request because it is full
    Then the other one is chosen until the time is over

  Scenario: Services whose upstreams tell no pace are decided as before
    Then without a pace every request is admitted or refused as by the former decision

  Scenario: Requests are ordered on a host that wasn't told to
    Then on a host that doesn't order requests each is decided as before
