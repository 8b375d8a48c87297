Feature: Entry hosts know what all of them have in progress at each upstream

  Scenario Outline: Hosts know only their own requests, or exchange too much
    Given <hosts> entry hosts with requests in progress at <upstreams> upstreams
    When they exchange loads for 4 s
    Then each host knows what the others have in progress
    And a host makes at most 5 calls a second, a relay at most <relay_calls> and answers <answers>
    And a host moves at most <bytes> bytes a second

    Examples:
      | hosts | upstreams | relay_calls | answers | bytes |
      | 1     | 10        | 0           | 0       | 0     |
      | 7     | 20        | 25          | 25      | 12000 |
      | 84    | 144       | 25          | 85      | 24000 |
      | 380   | 630       | 50          | 170     | 50000 |

  Scenario Outline: A fault makes hosts count requests twice or forget them
    Given 84 entry hosts with requests in progress at 20 upstreams
    And they exchanged loads for 4 s
    When <fault> and they exchange loads for 8 s
    Then no host ever counted a request twice
    And no host missed others' requests for more than <gap> s

    Examples:
      | fault                                           | gap |
      | a relay is lost                                 | 0.1 |
      | a relay is cut off from half of its hosts       | 0.1 |
      | half of the hosts don't know a relay any more   | 0.1 |
      | a new host becomes a relay                      | 0.1 |
      | a relay turns into an old build                 | 0.1 |
      | a relay answers with malformed replies          | 0.1 |
      | a host moves between two relays with each call  | 0.1 |

  Scenario: Requests of a host that fell silent are counted on
    Given 84 entry hosts with requests in progress at 20 upstreams
    And they exchanged loads for 4 s
    When a host falls silent
    Then after 3 s no host counts its requests
    And the silent host counts only its own requests

  Scenario: Requests of a process that was restarted are counted on
    Given 84 entry hosts with requests in progress at 20 upstreams
    And they exchanged loads for 4 s
    When a host is restarted without requests
    Then after 1 s no host counts its requests

  Scenario: Clocks that differ make statements or loads look old
    Given 14 entry hosts whose clocks differ by up to 500 s
    And an upstream told a load of 7 to one of them
    When they exchange loads for 4 s
    Then each host knows what the others have in progress
    And each host knows a load of 7 that is at most 5 s old

  Scenario Outline: A malformed call changes what a host knows
    Given 2 entry hosts with requests in progress at 20 upstreams
    When they exchange loads for 4 s
    And one gets the call "<method>" of <message>
    Then it refuses the call
    And each host knows what the others have in progress

    Examples:
      | method               | message                          |
      | forwarding.loads     | "text"                           |
      | forwarding.loads     | ["a", 1, [1, 2], []]             |
      | forwarding.loads     | ["a", 1, [1, -2, 3], []]         |
      | forwarding.loads     | ["a", 1, [], [1, 2, 3]]          |
      | forwarding.loads     | ["a", 1, [1, 0.5, 3], []]        |
      | forwarding.load_sums | ["a", 1, [], [1], [], []]        |
      | forwarding.load_sums | ["a", 1, [], [], [[1, 1, [1]]], []] |

  Scenario: Hosts call each other though no upstream tells a pace
    Given 7 entry hosts of which no service is modelled
    When they exchange loads for 4 s
    Then they made no call

  Scenario Outline: Each host chooses by its own sample of the load
    When <hosts> entry hosts send <rate> requests a second to <upstreams> upstreams
    Then with the exchange the busiest upstream has at most <most> times the mean
    And without it more than with it, and requests wait twice as long

    Examples:
      | hosts | rate | upstreams | most |
      | 7     | 200  | 20        | 1.7  |
      | 84    | 600  | 45        | 1.7  |

  Scenario: Upstreams that tell no pace are chosen otherwise than before
    When 7 entry hosts choose among upstreams that tell no pace
    Then they choose as without the exchange

  Scenario Outline: Entry hosts exchange nothing, or without need
    Given a platform with the replicas "a" and "b" of each service
    And an entry host
    And 2 further entry hosts
    And the replicas tell a pace of "<pace>"
    When callers send 10 requests a second to each entry host for 3 s
    Then the totals of each entry host contain <hosts> hosts

    Examples:
      | pace | hosts |
      | 130  | 3     |
      |      | no    |

  Scenario Outline: A load that tells a pace is dropped, or a bad one is used
    Then the load "<text>" is read as <running>, <waiting>, <slots>, <pace>

    Examples:
      | text       | running | waiting | slots | pace |
      | 5,1,8      | 5       | 1       | 8     | None |
      | 5,1,8,130  | 5       | 1       | 8     | 1.3  |
      | 5,1,8, 60  | 5       | 1       | 8     | 0.6  |

  Scenario Outline: A load that can't be read is used
    Then the load "<text>" is not read

    Examples:
      | text       |
      | 5,1,8,-3   |
      | 5,1,8,0    |
      | 5,1,8,nan  |
      | 5,1        |
      | 5,1,8,1,1  |
      | idle       |
