@alone
Feature: Crowds of clients beyond the limits don't end an entry host
  The bound is the target of the smallest host, 160 of its 200 megabytes: resident memory
  and the files that the process holds open, deleted ones too. Bodies may have 1 MiB.

  Scenario Outline: A crowd ends an entry host that forwards, or silences it
    Given an entry host of the smallest size that forwards bodies up to 1 MiB
    When <count> clients at once send <bodies>
    Then the process is alive and answers an ordinary request beside them
    And it held less than 160 megabytes in memory and files and 270 descriptors

    Examples:
      | count | bodies                                             |
      | 150   | chunks of 64 KB and stop before the end            |
      | 150   | chunks of 64 bytes and stop before the end         |
      | 40    | chunks of one byte and stop before the end         |
      | 150   | a body with a length and stop one byte short       |
      | 150   | a body piece by piece and stop one byte short      |
      | 150   | complete bodies for an upstream that doesn't answer |
      | 150   | complete chunked bodies for an upstream that doesn't answer |
      | 40    | a body announced with 400 MB                       |
      | 40    | chunks without end                                 |
      | 200   | all of these                                       |

  Scenario Outline: A crowd ends an entry host that serves, or silences it
    Given an entry host that serves bodies up to 1 MiB
    When <count> clients at once send <bodies>
    Then the process is alive and answers an ordinary request beside them
    And it held less than 160 megabytes in memory and files and 270 descriptors

    Examples:
      | count | bodies                                             |
      | 150   | chunks of 64 KB and stop before the end            |
      | 150   | chunks of 64 bytes and stop before the end         |
      | 40    | chunks of one byte and stop before the end         |
      | 150   | a body with a length and stop one byte short       |
      | 150   | a body piece by piece and stop one byte short      |
      | 150   | complete bodies for an upstream that doesn't answer |
      | 40    | a body announced with 400 MB                       |
      | 40    | chunks without end                                 |
      | 200   | all of these                                       |

  Scenario: Crowds of 400 fill the smallest host
    Given an entry host of the smallest size that forwards bodies up to 1 MiB
    When 400 clients at once send chunks of 64 KB and stop before the end
    Then the process is alive and answers an ordinary request beside them
    And it held less than 160 megabytes in memory and files and 520 descriptors

  Scenario Outline: Connections without a request use up an entry host's descriptors
    Given an entry host with 400 descriptors that forwards bodies up to 1 MiB
    When 450 clients at once send <bodies>
    Then the process is alive and answers an ordinary request beside them
    And it held less than 160 megabytes in memory and files and 400 descriptors

    Examples:
      | bodies                    |
      | heads that don't end      |
      | nothing                   |
      | a byte of a body each     |

  Scenario Outline: A single request inside the limits is refused in calm
    Given an entry host of the smallest size that forwards bodies up to 1 MiB
    When one client sends a body of 1 MiB <how>
    Then it is answered with 200 and the upstream got the body

    Examples:
      | how                  |
      | with a length        |
      | in chunks of 64 KB   |
      | in chunks of 64 bytes |
      | after a 100 Continue |
      | slowly               |

  Scenario Outline: Memory of requests whose callers have left stays counted
    Given an entry host of the smallest size that forwards bodies up to 1 MiB
    When 100 clients at once send <bodies>
    And they leave and 100 others do the same, 3 times
    Then an ordinary body of 1 MiB is answered and no request is counted any more

    Examples:
      | bodies                                              |
      | a body with a length and stop one byte short        |
      | complete bodies for an upstream that doesn't answer |
      | pipelined bodies for an upstream that doesn't answer |
