Feature: A host that is cut off holds customers to its share

  Scenario: Nothing was heard from the holder for a while
    Given a host that was told that a customer is far from its quota
    When it hears nothing for 3 seconds and is asked for 4 times its share
    Then it lets no more pass in a span than its share
