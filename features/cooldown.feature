Feature: Upstreams that failed are avoided for a while

  Scenario: One crash that breaks ten connections counts as ten failures
    When an upstream breaks 10 connections within 10 ms
    Then it is avoided for 1 s

  Scenario: An upstream that fails after each cooldown is avoided for longer
    When an upstream fails 3 times, each time after its cooldown
    Then it is avoided for 4 s
