Feature: A prompt part that crashes replicas is refused, and nothing else is

  Scenario: Requests that share only one part of their prompts crash replica after replica
    Given a platform with the replicas "a" and "b" of each service
    And 7 more replicas of "model"
    And an entry host
    And each replica crashes when it begins an answer on the prompt part "bad"
    When callers send different prompts with the part "bad" until it is refused
    Then at most 5 replicas have crashed
    And a prompt with the same first part is answered

  Scenario Outline: Few requests with a bad part reach upstreams, and sound ones are not refused
    Then in <seeds> days with <trouble> at most 3 requests with a bad part come too late

    Examples:
      | trouble                              | seeds |
      | one bad part                         | 12    |
      | two bad parts at once                | 12    |
      | many requests with a bad part        | 12    |
      | few requests with a bad part         | 12    |
      | crashes for other reasons            | 12    |
      | several upstreams lost at once       | 12    |
      | entry hosts killed                   | 12    |
      | entry hosts cut off                  | 12    |
      | a loss of power of all entry hosts   | 12    |
      | a lost record, then a loss of power  | 12    |
      | a lost record, all who knew killed, then a loss of power | 12 |
      | prompts made of random parts         | 12    |

  Scenario: Evidence about prompts made of random parts grows without bound
    When 3000 crashes with 90 random parts each are reported beside those of a bad part
    Then the bad part is blamed and at most 256 crashes of 96 parts are kept

  Scenario: A crash is not reported when more upstreams than are checked at once fail
    When 10 upstreams crash at the same moment and are not noticed to be down
    Then after 3 checks all 10 crashes are reported

  Scenario: An answer that was broken off long before is taken for a part of the crash
    When an upstream that is up breaks off an answer on "early" and later crashes on "late"
    Then only "late" is reported

  Scenario: The store's record leaves out the blamed part among others that recur
    When a bad part "x-bad" crashes upstreams beside 12 parts that recur
    Then each recorded crash has the part "x-bad"

  Scenario Outline: All hosts write the same outdated record at once
    Given <hosts> hosts that have answered a part which the store's record blames
    When they keep the record up to date for 30 seconds, news of it taking 1 second
    Then the record has been written, with at most <writes> writes tried

    Examples:
      | hosts | writes |
      | 7     | 4      |
      | 84    | 4      |
      | 380   | 4      |

  Scenario: The hosts whose turn comes first are cut off from the store
    Given 84 hosts that have answered a part which the store's record blames
    When the first 40 are cut off from the store
    And they keep the record up to date for 30 seconds, news of it taking 1 second
    Then the record has been written
