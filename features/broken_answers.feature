Feature: Broken answers reach nobody
  Heads, chunks and trailers are read by the grammar of RFC 9110 and RFC 9112, by callers'
  entry hosts and wherever else answers are read. Each answer comes twice, on a connection
  that is closed after it and on one that is kept.

  Background:
    Given callers and calls of each kind, and servers that send given bytes

  Scenario: Sound answers with a length
    When answers come with
      | lines                                               |
      | Content-Length: {n}                                 |
      | X-A:\r\nContent-Length: {n}                         |
      | X-A: b, c\r\nX-A: \xe9\xff\r\ncontent-length: {n}    |
      | !#$%&'*+-.^_`\x7c~9aZ: "(b)"\r\nContent-Length: {n} |
    Then each of them is read whole

  Scenario: Blanks around a value belong to no value
    When answers come with
      | lines                                      |
      | Content-Length:{n}                         |
      | Content-Length: \t {n}                     |
      | Content-Length: {n}\x20                    |
      | Content-Length:{n}\x20\t                   |
      | X-A: b\x20\t\x20\r\nContent-Length: {n}\t   |
    Then each of them is read whole
