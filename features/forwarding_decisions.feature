Feature: Decisions of forwarding, played without a network

  Scenario: Shares of a quota never add up to more than the whole
    Then in every history of reports, silences and restarts the shares in use add up to at most 1

  Scenario: Over all hosts a customer gets about its quota and not more
    When 7 hosts are asked for 5 times a quota for 40 seconds
    Then in every span at most the permitted use is let pass
    And at least nine tenths of the quota are let pass

  Scenario: Demand below the quota is hardly refused, however uneven it is
    When 7 hosts are asked for 0.6 times a quota for 40 seconds
    Then at most 2 in 100 requests are refused

  Scenario: Many hosts refuse nothing while the quota is far away
    When 80 hosts are asked for 0.5 times a quota for 40 seconds
    Then at most 2 in 100 requests are refused

  Scenario: A sudden multiple of the usual demand
    When 7 hosts are asked for 0.55 times a quota for 20 seconds
    And then for 4.2 times a quota for 20 seconds
    Then in every span at most the permitted use is let pass

  Scenario: Many hosts with shares smaller than one request
    When 80 hosts are asked for 5 times a quota for 40 seconds
    Then in every span at most the permitted use is let pass
    And at least three quarters of the quota are let pass

  Scenario: A process that restarts does not get a second quota
    When 7 hosts are asked for 5 times a quota and all restart after 20 seconds
    Then in every span at most the permitted use is let pass

  Scenario Outline: All processes are killed while the quota is far away
    When <count> hosts are asked for <multiple> times a quota and all are killed
    Then at most <refused> in 100 requests of the next 4 seconds are refused

    Examples:
      | count | multiple | refused |
      | 7     | 0.5      | 2       |
      | 7     | 0.6      | 2       |
      | 80    | 0.5      | 5       |
      | 80    | 0.6      | 5       |

  Scenario Outline: All processes are killed and the demand jumps at that moment
    When <count> hosts are asked for 0.8 times a quota and all are killed
    And then for <multiple> times a quota for 12 seconds
    Then in every span at most the permitted use is let pass

    Examples:
      | count | multiple |
      | 7     | 2        |
      | 7     | 8        |
      | 80    | 2        |
      | 80    | 8        |

  Scenario Outline: A host that stops begins what will end in time
    When a stream of about <expected> and at most <most> tokens comes <after> seconds after a stop with 6.9 seconds
    Then the late stream is <decision>

    Examples:
      | expected | most | after | decision |
      | 150      | 900  | 0.5   | begun    |
      | 900      | 900  | 0.5   | refused  |
      | 120      | 900  | 3.4   | refused  |
      | 120      | 150  | 3.4   | begun    |
      | 0        | 0    | 5.0   | begun    |

  Scenario: The longest prefix is found
    Then for all routes and paths the route with the longest prefix is found

  Scenario: Events come out whole however their bytes arrive
    Then every way to cut a stream into pieces gives the same events

  Scenario: True time survives jumps of the wall clock
    When a host whose wall clock is 3 seconds off hears from 4 others
    Then its true time is theirs
    When later one of the others is 5 seconds off
    Then its true time is still that of the others

  Scenario: Counts of departed processes are kept once
    Then joined counts are the larger of each, in whatever order they come

  Scenario: Reclaimable hosts hold the load with one data centre lost
    Then for every load the plan without its largest data centre holds it or is at its most

  Scenario: On-demand hosts are given up only for hosts that serve
    When no reclaimable host serves yet
    Then the on-demand hosts stay
    When the reclaimable hosts serve
    Then the on-demand hosts go

  Scenario: On-demand hosts stand in for a data centre that was reclaimed
    When a wave of reclaims goes through the data centres
    Then on-demand hosts are ordered before the last data centre is lost
    When reclaimable hosts are to be had again and serve
    Then the on-demand hosts go

  Scenario: A load that falls is followed slowly
    Then a load that halves for 3 seconds gives up no host

  Scenario: What can't be in time is refused at once
    When 2 hosts get 4 times the load that they hold
    Then those admitted are answered within the multiple of their objective
    And those refused waited for nothing
    And without refusing nearly all would come too late
