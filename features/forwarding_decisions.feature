Feature: Forwarding decisions, simulated without a network

  Scenario: Shares of a quota never add up to more than the whole
    Then in every history of reports, pauses and restarts the shares in use add up to at most 1

  Scenario: Over all hosts a customer gets about its quota and not more
    When 7 hosts receive requests for 5 times a quota for 40 seconds
    Then in every span at most the permitted use is admitted
    And at least nine tenths of the quota are admitted

  Scenario: Demand below the quota is rarely refused, however uneven it is
    When 7 hosts receive requests for 0.6 times a quota for 40 seconds
    Then at most 2 in 100 requests are refused

  Scenario: Many hosts refuse nothing while the quota is far away
    When 80 hosts receive requests for 0.5 times a quota for 40 seconds
    Then at most 2 in 100 requests are refused

  Scenario: A sudden multiple of the usual demand
    When 7 hosts receive requests for 0.55 times a quota for 20 seconds
    And then for 4.2 times a quota for 20 seconds
    Then in every span at most the permitted use is admitted

  Scenario: Many hosts with shares smaller than one request
    When 80 hosts receive requests for 5 times a quota for 40 seconds
    Then in every span at most the permitted use is admitted
    And at least three quarters of the quota are admitted

  Scenario: A process that restarts does not get a second quota
    When 7 hosts receive requests for 5 times a quota and all restart after 20 seconds
    Then in every span at most the permitted use is admitted

  Scenario Outline: All processes are killed while the quota is far away
    When <count> hosts receive requests for <multiple> times a quota and all are killed
    Then at most <refused> in 100 requests of the next 4 seconds are refused

    Examples:
      | count | multiple | refused |
      | 7     | 0.5      | 2       |
      | 7     | 0.6      | 2       |
      | 80    | 0.5      | 5       |
      | 80    | 0.6      | 5       |

  Scenario Outline: All processes are killed and the demand jumps at that moment
    When <count> hosts receive requests for 0.8 times a quota and all are killed
    And then for <multiple> times a quota for 12 seconds
    Then in every span at most the permitted use is admitted

    Examples:
      | count | multiple |
      | 7     | 2        |
      | 7     | 8        |
      | 80    | 2        |
      | 80    | 8        |

  Scenario Outline: A stopping host starts only streams that will end in time
    When a stream of about <expected> and at most <most> tokens comes <after> seconds after a stop with 6.9 seconds, with <allowed> left
    Then the late stream is <decision>

    Examples:
      | expected | most | after | allowed | decision |
      | 150      | 900  | 0.5   | 12      | begun    |
      | 900      | 900  | 0.5   | 12      | refused  |
      | 120      | 900  | 3.4   | 12      | refused  |
      | 120      | 150  | 3.4   | 12      | refused  |
      | 120      | 150  | 3.4   | 3.4     | begun    |
      | 0        | 0    | 5.0   | 2       | refused  |
      | 0        | 0    | 5.0   | 1.8     | begun    |

  Scenario: The longest prefix is found
    Then for all routes and paths the route with the longest prefix is found

  Scenario: Events are complete however their bytes arrive
    Then every way to split a stream into pieces gives the same events

  Scenario: True time survives jumps of the wall clock
    When a host whose wall clock is 3 seconds off receives the time of 4 others
    Then its true time equals theirs
    When later one of the others is 5 seconds off
    Then its true time still equals that of the others

  Scenario: Counts of departed processes are included once
    Then joined counts are the larger of each, whatever their order

  Scenario: Reclaimable hosts serve the load with one data centre lost
    Then for every load the plan without its largest data centre serves it or is at maximum

  Scenario: On-demand hosts are released only when reclaimable hosts serve
    When no reclaimable host serves yet
    Then the on-demand hosts are kept
    When the reclaimable hosts serve
    Then the on-demand hosts are released

  Scenario: On-demand hosts replace a data centre that was reclaimed
    When a wave of reclaims goes through the data centres
    Then on-demand hosts are ordered before the last data centre is lost
    When reclaimable hosts are available again and serve
    Then the on-demand hosts are released

  Scenario: Capacity follows a falling load slowly
    Then a load that halves for 3 seconds releases no host

  Scenario: A request that can't finish in time is refused at once
    When 2 hosts receive 4 times the load that they can serve
    Then admitted requests are answered within the multiple of their objective
    And refused requests were refused without a wait
    And without refusals nearly all would be late
