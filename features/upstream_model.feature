Feature: Entry hosts learn how fast upstreams work, and place requests by it

  Scenario Outline: A load with absurd figures is believed
    Then the load "<figures>" is read with the pace <pace>

    Examples:
      | figures                | pace |
      | 5,2,64                 | none |
      | 5,2,64,100             | 1.0  |
      | 5,2,64,250             | 2.5  |
      | 5,2,64,0               | bad  |
      | 5,2,64,-5              | bad  |
      | 5,2,64,nan             | bad  |
      | 5,2,64,99999999        | bad  |
      | 5,99999999999999999,64 | bad  |
      | 5,2                    | bad  |
      | 5,2,64,100,100         | bad  |

  Scenario: Decisions change although upstreams are as fast as was assumed
    Then at the assumed rate each choice is the one among all upstreams, as before

  Scenario Outline: What was learnt is not used
    Then hosts with <cause> use what they have learnt within 5 s

    Examples:
      | cause                                    |
      | upstreams that tell a pace               |
      | upstreams a third as fast as was assumed |

  Scenario Outline: A few answers mislead the estimate of a service's speed
    When a service's answers are disturbed by <trouble>
    Then its time per token is within <share> of the undisturbed one

    Examples:
      | trouble          | share |
      | nothing          | 0.15  |
      | queues           | 0.25  |
      | unseen cache hits| 0.25  |
      | one lie in ten   | 0.25  |
      | quick failures   | 0.25  |

  Scenario: What hosts tell of their measurements is absurd
    When a host reports absurd measurements
    Then they are ignored and counted

  Scenario Outline: Slow upstreams of a service get as much as fast ones
    Given <hosts> entry hosts and 45 upstreams with the speeds 0.6, 1 and 1.6
    When they get 150 requests a second for 12 s
    Then the fast ones get at least 1.3 times as much as the others, the slow ones least
    And at most <late> in 100 first pieces are late

    Examples:
      | hosts | late |
      | 7     | 1    |
      | 84    | 5    |
      | 380   | 8    |

  Scenario: Upstreams that lie about their pace attract or lose all requests
    Given 84 entry hosts of which each tenth told load is a lie
    When they get 150 requests a second for 12 s
    Then at most 6 in 100 first pieces are late

  Scenario: An upstream that turns slow keeps its requests, or never regains them
    Given 84 entry hosts and 45 upstreams with the speeds 1, 1 and 1
    When an upstream turns 4 times slower for 6 s
    Then it gets less than half of its share within 3 s, and regains it 12 s later

  Scenario: All entry hosts send a slow upstream's requests to the same next one
    Given 84 entry hosts and 45 upstreams with the speeds 1, 1 and 1
    When an upstream turns 4 times slower for 6 s
    Then no upstream gets more in a second than 1.3 times as before

  Scenario: A new incarnation inherits what was known of the former one
    When an upstream known as slow starts again
    Then it is expected to be as fast as its service

  Scenario: Entry hosts expect a shared part at different upstreams
    Then hosts with the same view name the same owners, and a lost owner moves its parts only

  Scenario: Each entry host has a shared part read at another upstream
    When 84 entry hosts send prompts that share 200 long parts for 12 s
    Then two in three prompts find their shared part where they are sent

  Scenario: A part that makes up most of the work stays at one upstream
    Then a part with half of the work is owned by about half of 20 upstreams

  Scenario: Orders follow an assumed speed instead of the learnt one
    When a service reads 30,000 tokens a second and requests bring 300,000
    Then its entry hosts report 8 to 16 busy upstreams

  Scenario: Orders count slow upstreams like fast ones
    Given 84 entry hosts and 45 upstreams with the speeds 0.6, 1 and 1.6
    When they get 150 requests a second for 12 s
    Then a prompt of 3,000 tokens occupies an average upstream for 60 to 130 ms

  Scenario: Hosts are as full for urgent targets as for patient ones
    Then the utilization that is aimed at grows with the target and falls with the work
