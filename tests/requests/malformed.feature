Feature: Malformed datagrams
  Any bytes may arrive at a VM. A malformed datagram must neither end the
  process, which loses all sessions of the VM, nor leave a task behind.

  Scenario Outline: CoAP says how a datagram is answered
    Given an entry VM that receives any bytes
    When the bytes "<sent>" arrive
    Then the bytes are answered by "<answer>"

    Examples: empty messages, responses and other versions
      | sent             | answer        | why                       |
      | 40 00 12 34      | 70 00 12 34   | a ping is reset           |
      | 50 00 12 34      | none          | an empty NON is ignored   |
      | 60 00 12 34      | none          | an ACK answers nothing    |
      | 70 00 12 34      | none          | a Reset answers nothing   |
      | 40 45 12 34      | 70 00 12 34   | a response nobody awaits  |
      | 50 45 12 34      | none          | the same as NON           |
      | 40 E1 12 34      | 70 00 12 34   | a reserved code class     |
      | 80 01 12 34      | none          | version 2                 |
      | 00 01 12 34      | none          | version 0                 |
      | 40 01 12         | none          | shorter than a header     |
      | 49 01 12 34      | 70 00 12 34   | a reserved token length   |
      | 44 01 12 34 AA   | 70 00 12 34   | a token cut off           |
      | 40 01 12 34 F0   | 70 00 12 34   | a reserved option delta   |
      | 40 01 12 34 35   | 70 00 12 34   | an option cut off         |
      | 40 01 12 34 31 FF | 70 00 12 34  | a host that is not UTF-8  |

    Examples: requests that CoAP requires to be refused
      | sent                    | answer                    | why               |
      | 40 01 12 34 31 78 61 00 | BAD_OPTION                | critical option 9 |
      | 50 01 12 34 31 78 61 00 | none                      | the same as NON   |
      | 40 01 12 34 10          | BAD_OPTION                | If-Match          |
      | 40 01 12 34 31 78 01 79 | BAD_OPTION                | Uri-Host twice    |
      | 40 01 12 34 D1 16 78    | PROXYING_NOT_SUPPORTED    | Proxy-Uri         |
      | 40 1F 12 34 31 78       | METHOD_NOT_ALLOWED        | code 0.31         |
      | 40 01 12 34 D1 0A 07    | BAD_REQUEST               | block exponent 7  |
      | 40 01 12 34 31 78       | NOT_FOUND                 | unknown service   |

  Scenario: The decoder raises only errors of its own for any bytes
    When 800 fuzzed datagrams are decoded
    Then each fuzzed datagram is a request, or refused with a defined error

  Scenario: The decoder of answers raises only errors of its own
    When 800 fuzzed answers are decoded
    Then each fuzzed datagram is a request, or refused with a defined error

  Scenario: A node survives any bytes
    When 12 bursts of fuzzed datagrams reach a node
    Then the fuzzed node still serves, without a task left behind
    And the fuzzed node has counted malformed datagrams
