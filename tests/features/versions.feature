Feature: Requests run on allowed versions only

  Scenario: A withdrawn version gets no new requests from any router
    Given a fleet of 3 routers
    When the caller asks "small-1" through router 1
    Then the answer comes from "small-1"
    When version "small-1" of size "small" is withdrawn everywhere
    And the caller asks "small-1" through router 1
    Then the request is refused as "no_version_allowed" and was "not_run"
    When the caller asks "small-1" through router 3
    Then the request is refused as "no_version_allowed" and was "not_run"
    When the caller asks "assistant" through router 2
    Then the answer comes from "large-1"

  Scenario: A session keeps its version on every router and ends when the version is withdrawn
    Given a fleet of 3 routers
    When the caller starts a session on "small-1" through router 1
    And version "small-1" of size "small" is retired everywhere
    And the caller asks "small-1" through router 2
    Then the request is refused as "no_version_allowed" and was "not_run"
    When the caller continues the session through router 2
    Then the answer comes from "small-1"
    When version "small-1" of size "small" is withdrawn everywhere
    And the caller continues the session through router 3
    Then the request is refused as "session_version_withdrawn" and was "not_run"

  Scenario: A session on a model keeps the version that it started on
    Given a fleet of 3 routers
    When the caller starts a session on "assistant" through router 1
    And the caller continues the session 12 times through all routers
    Then every answer of the session came from its first version

  Scenario: An altered session token is refused
    Given a fleet of 1 routers
    When the caller starts a session on "small-1" through router 1
    And the caller alters the session token and continues through router 1
    Then the request is refused as "bad_session" and was "not_run"

  Scenario: Of two concurrent changes one is accepted, and all routers agree
    Given a fleet of 3 routers
    When two operators withdraw and retire "small-1" at once
    Then all routers hold the same configuration

  Scenario: A frozen router dispatches nothing on a version withdrawn in the meantime
    Given a fleet of 3 routers
    When router 1 is frozen
    And version "small-1" of size "small" is withdrawn
    And router 1 is thawed
    Then router 1 refuses "small-1" as "no_version_allowed"
    And all routers hold the same configuration
