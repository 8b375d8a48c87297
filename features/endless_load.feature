Feature: Many responses without end leave a host's memory and processor to other requests

  Background:
    Given a platform whose replicas of "model" send responses without end
    And a replica of "till" that answers

  Scenario Outline: A host runs out of memory under many responses without end
    Given an entry host as a process of its own
    When <count> callers that <pace> get responses without end in the <place>
    And payments are sent beside them for 4 seconds
    Then the process used less than 160 megabytes at any time
    And every payment got 200 within 2 seconds

    Examples:
      | count | pace       | place                       |
      | 60    | read       | headers                     |
      | 60    | don't read | response to another request |
      | 100   | don't read | body without length         |
      | 40    | read       | body without length         |
      | 100   | don't read | body in chunks              |
      | 60    | don't read | body of a failure           |
      | 100   | don't read | event of a stream           |
      | 60    | don't read | events of a stream          |
      | 40    | read       | chunks of one byte          |
      | 40    | read       | event in chunks of 45 bytes |

  Scenario Outline: A host that helps others runs out of memory under their responses
    Given an entry host that helps others as a process of its own
    When <count> calls of other hosts that <pace> get responses without end in the <place>
    And payments are sent beside them for 4 seconds
    Then each replica has sent responses without end
    And the process used less than 160 megabytes at any time
    And every payment got 200 within 2 seconds

    Examples:
      | count | pace       | place               |
      | 100   | don't read | body without length |
      | 40    | read       | body without length |
      | 100   | don't read | body in chunks      |
      | 60    | don't read | body of a failure   |
      | 60    | read       | events of a stream  |
      | 40    | read       | chunks of one byte  |
