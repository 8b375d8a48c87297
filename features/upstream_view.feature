Feature: Entry hosts get reports of upstreams with answers and from each other

  Scenario: Running entry hosts choose by what engines report
    Given an embedded system with reporting engines
    When a conversation of three turns is held
    Then all turns ran at one engine and the metrics count a choice by prefix

  Scenario: A shared load fact and a shared leaving fact reach the choice
    Given two upstream views that share facts
    When one view receives reports that a host is full and another is leaving
    Then the other view chooses neither of them
