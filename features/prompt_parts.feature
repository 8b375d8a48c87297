Feature: A prompt part that crashes replicas is refused, and nothing else is

  Scenario: Requests that share only one part of their prompts crash replica after replica
    Given a platform with the replicas "a" and "b" of each service
    And 7 more replicas of "model"
    And an entry host
    And each replica crashes when it begins an answer on the prompt part "bad"
    When callers send different prompts with the part "bad" until it is refused
    Then at most 5 replicas have crashed
    And a prompt with the same first part is answered
