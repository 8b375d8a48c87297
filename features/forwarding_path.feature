Feature: Requests pass unchanged between callers and upstreams

  Background:
    Given a platform with the replicas "a" and "b" of each service
    And an entry host

  Scenario: A plain response is forwarded byte for byte
    When a caller posts to "/charge/7?x=%2F&y=1"
    Then the response is 200 with the replica's body and signature
    And the replica got the target "/charge/7?x=%2F&y=1"
    And the replica got the customer but not the key

  Scenario: A stream is forwarded completely, event by event
    When a caller posts to "/planner/q"
    Then the response is 200 with the events 1 to 5

  Scenario: Repeated headers and underscores are forwarded, hop-by-hop headers are not
    When a caller sends the header lines
      """
      X-Tag: one
      X-Tag: two
      X_Odd: kept
      Connection: X-Drop
      X-Drop: dropped
      """
    Then the replica got these header lines
      """
      X-Tag: one
      X-Tag: two
      X_Odd: kept
      """
    And the replica did not get "X-Drop"

  Scenario: The longest prefix selects the route
    When a caller without a key gets "/lookup/open/1"
    Then the response is 200 with the replica's body and signature
    When a caller without a key gets "/lookup/1"
    Then the response is 401 and nothing reached a replica

  Scenario Outline: Requests that no rule allows are refused
    When a caller gets "<path>" of host "<host>" with key "<key>"
    Then the response is <status> and nothing reached a replica

    Examples:
      | path       | host         | key           | status |
      | /nowhere/1 | shop.example | key-of-lanark | 404    |
      | /lookup    | shop.example | key-of-lanark | 404    |
      | /lookup/1  | other        | key-of-lanark | 404    |
      | /lookup/1  | shop.example | wrong         | 401    |

  Scenario Outline: Ambiguous or oversized requests are refused
    When a malformed request comes with <what>
    Then the response is <status> and nothing reached a replica

    Examples:
      | what                             | status |
      | two lengths                      | 400    |
      | a length and chunks              | 400    |
      | chunks in HTTP 1.0               | 400    |
      | two hosts                        | 400    |
      | no host                          | 400    |
      | a folded header                  | 400    |
      | a space before the colon         | 400    |
      | an absolute target               | 400    |
      | an unknown transfer encoding     | 400    |
      | a broken chunk                   | 400    |
      | a head beyond the limit          | 431    |
      | a body beyond the limit          | 413    |
      | a deadline that is not a number  | 400    |

  Scenario: A chunked body arrives complete
    When a caller posts the chunks "ab" and "cde" to "/charge/1"
    Then the replica got the body "abcde"

  Scenario: Limits change with the rules
    When the rules forbid bodies of more than 10 bytes
    And a caller posts 20 bytes to "/charge/1"
    Then the response is 413 and nothing reached a replica

  Scenario: A response to HEAD keeps its length and has no body
    When a caller sends HEAD for "/lookup/1"
    Then the response is 200 with a length and no body

  Scenario: One connection serves many requests
    When a caller sends 5 requests on one connection
    Then all 5 are answered with their own bodies

  Scenario: No rules have been read yet
    Given the store refuses all calls
    And another entry host without peers
    When a caller posts to "/charge/1" there
    Then the response is 503 with a Retry-After
    And that host is not ready

  Scenario: A host that was suspended resumes
    Given an entry host as a process of its own
    When it is suspended for longer than it waits for a signal
    Then it still answers and exits on SIGTERM

  Scenario: A suspended wait for signals times out without a signal
    When a process is suspended while it waits for a signal
    Then it reports that none arrived

  Scenario Outline: Settings are reloaded without interrupting requests
    Given an entry host as a process of its own
    When its settings file gets <content> and <signal>
    Then its log says "<message>" and it still answers

    Examples:
      | content        | signal        | message                                 |
      | another bound  | it is told so | settings reloaded                       |
      | another bound  | nobody says so | settings reloaded                      |
      | a broken line  | it is told so | settings rejected; the former ones stay |
