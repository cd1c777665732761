Feature: A node as a process: start, reload, stop
  Real processes on loopback, with a store, upstreams, routers and clients.

  Scenario: Nodes that are stopped one after the other cut short no request
    # An operator replaces all nodes. Each flow's packets move to other nodes
    # when one leaves the rotation, and back when it returns.
    Given a day on loopback with 3 nodes, 4 upstreams and 40 flows
    When every node is stopped by SIGTERM and started again during requests
    Then all requests on loopback were served

  Scenario: A node whose store hangs serves what it knew
    # The store accepts connections and never answers; open flows and new ones
    # must go on by what was read.
    Given a day on loopback with 1 node, 2 upstreams and 10 flows
    When the store falls silent for 3 seconds during requests
    Then all requests on loopback were served

  Scenario: SIGHUP and a changed file reach a running node
    # The platform moves the level of the logs and the time to stop; SIGHUP
    # ends a process by default.
    Given a day on loopback with 1 node, 2 upstreams and 5 flows
    When the node's file gets "Bounds.GraceS=9" and it gets SIGHUP
    Then the node logs "settings changed" with "stop_seconds"
    When the node's file gets "LogLevel=WARNING" without a signal
    Then the node logs "settings changed" with "log_level"
    And the node still runs

  Scenario: A settings file that becomes unreadable changes nothing
    Given a day on loopback with 1 node, 2 upstreams and 5 flows
    When the node's file loses all lines
    Then the node logs "settings unreadable" with "burdocksill.E002"
    And the node still runs

  Scenario Outline: Settings that cannot be read end the start with a code
    Given a settings file with <line> instead of its line
    When a node is started with it
    Then it ends with 2 and says "<code>"

    Examples:
      | line                     | code             |
      | Node=                    | burdocksill.E002 |
      | Listen.DataAddr=here     | burdocksill.E003 |
      | platform.Address=1.2.3.4 | burdocksill.E003 |

  Scenario: A start takes little processor time
    # After a loss of power every flow waits for this. Figures of 2026-12 on
    # one core: 0.33 s with everything imported before the first packet; since
    # what decides is imported alone first, 0.12 s to the first packet and
    # 0.22 s to the whole program. Machines that are shared run at half of that
    # speed at times, so it is compared with what importing trio alone takes in
    # the same minute: 0.12 s where these figures were measured.
    Given a day on loopback with 1 node, 2 upstreams and 5 flows
    When a node is started 5 times to be measured
    Then the best start took at most 0.3 seconds where trio takes 0.12 seconds
    And it holds at most 45 MB

  Scenario: A first packet costs little more than the interpreter
    # After a loss of power every node starts at once, on a quarter of a core,
    # and no flow is served until the first of them forwards a packet. Up to it
    # a start took 10.3 times the processor time of a bare interpreter, and
    # takes 3.8 times now (tools/start_cost.py, both in one run).
    When starts are measured up to their first packet
    Then they take at most 7 times a bare interpreter

  Scenario: Packets are forwarded while the rest is imported
    # The store is read within a few milliseconds; the libraries take longer.
    Given what decides about packets, and a packet that waits
    When a module is imported while serving
    Then the packet was forwarded during the import
    And no finder of modules is left behind

  Scenario: Sockets are bound before any library is imported
    # A process that starts again is sent packets all the while. What comes
    # before its socket is bound is lost: its sender repeats it up to 1.6 s
    # later. The import takes 0.5 s on a machine with a quarter of a core.
    Given a settings file with both addresses
    When the sockets are bound early in a new process
    Then both addresses are bound
    And SIGHUP no longer ends the process
    And none of "attr", "attrs", "json", "logging", "h11", "trio" was imported

  Scenario: A long list is read at the first attempt
    # 300 nodes start at once; each page of the list takes a while over links
    # that all of them load. A reading that was given up half-way began anew with
    # its first page: the first service came after 9.5 seconds.
    Given a store with 40 upstreams in pages of 5 that takes 0.1 seconds a page
    When a node reads it at its start
    Then it knows 40 upstreams after at most 9 calls

  Scenario: A store that hangs does not hold up a start
    Given a store with 40 upstreams in pages of 5 that falls silent
    When a node reads it at its start
    Then it goes on without them within 0.6 seconds

  Scenario: An address that is taken ends the start with an error
    Given a settings file with both addresses
    When another process holds the address for packets
    And a node is started with it
    Then it ends with 1 and says "Address already in use"

  Scenario: A node that is behind concludes nothing from repeats
    # A slowed node reads repeats of packets that were answered long ago.
    Given what decides about packets, and 300 packets that wait
    When it drains its socket every 0.06 seconds
    Then it knows that it is behind after 3 rounds
    And it is not behind once its socket was empty

  Scenario: What decides about packets starts without the larger libraries
    When the decisions are imported in a new process
    Then none of "trio", "msgspec", "httpx", "prometheus_client", "click" was imported
    And none of "attr", "attrs", "h11", "logging", "typing" was imported

  Scenario: The metrics page tells what a node did and how old its knowledge is
    Given a day on loopback with 1 node, 2 upstreams and 10 flows
    When its metrics are read after 3 requests on each flow
    Then they hold "burdocksill_packets_total{reason="opened"} 10.0"
    And they hold "burdocksill_answer_seconds_count{service="ledger"} 30.0"
    And they hold "burdocksill_manifest_version 1"
    And they hold "burdocksill_upstreams 2"
    And they hold "burdocksill_reads_for_domain 1"

  Scenario: An opening without a route is refused at once, at any time
    # A node hears of no change for as long as nothing changes; what it knows
    # is as good as new, and clients should not wait for their time-outs.
    Given a day on loopback with 1 node, 2 upstreams and 5 flows
    When flows to an unknown port are opened every 0.5 seconds for 4 seconds
    Then each was refused within 0.1 seconds
