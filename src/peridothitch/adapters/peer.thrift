/** Calls between entry hosts. Payloads are msgpack of the caller's typed messages. */

struct Envelope {
  /** Version of this interface; a host refuses versions that it does not know. */
  1: required i16 version,
  /** Id of the calling host. */
  2: required string sender,
  3: required string method,
  4: required binary payload,
}

exception Refused {
  1: required i32 code,
  2: required string detail,
}

service PeerService {
  /** Membership and gossip; answered ahead of other calls. */
  binary gossip(1: Envelope envelope) throws (1: Refused refused),
  /** Any other call. */
  binary call(1: Envelope envelope) throws (1: Refused refused),
}
