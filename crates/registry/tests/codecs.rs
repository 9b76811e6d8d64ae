//! Both spellings: what is asked, what is answered, and what is wrong with an answer.

use lynxmill_registry::consul::Consul;
use lynxmill_registry::etcd::Etcd;
use lynxmill_registry::layout::{KeyLocation, Layout};
use lynxmill_registry::{
    Answer, Change, Lease, Precondition, Protocol, PutOperation, Reply, Revision, StoreRequest,
    Transaction,
};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn etcd() -> Etcd {
    Etcd::new("p/")
}

fn consul() -> Consul {
    Consul::new("p/")
}

fn txn() -> StoreRequest {
    let guards = vec![
        ("p/a".to_owned(), Precondition::Absent),
        ("p/b".to_owned(), Precondition::At(Revision(7))),
        ("p/c".to_owned(), Precondition::Of(Lease("12".into()))),
    ];
    let put = |key: &str, value: Option<&[u8]>, lease: Option<&str>| PutOperation {
        key: key.into(),
        value: value.map(<[u8]>::to_vec),
        lease: lease.map(|lease| Lease(lease.into())),
    };
    let puts = vec![
        put("p/a", Some(b"x"), Some("12")),
        put("p/b", Some(b"y"), None),
        put("p/d", None, None),
    ];
    StoreRequest::Txn {
        id: 5,
        txn: Transaction { guards, puts },
    }
}

fn page() -> StoreRequest {
    StoreRequest::Page {
        turn: 3,
        after: Some("p/k".into()),
        at: Some(Revision(40)),
    }
}

fn body(protocol: &dyn Protocol, ask: &StoreRequest) -> Value {
    let request = protocol.request(ask).expect("a request");
    serde_json::from_str(&request.body.expect("a body")).expect("JSON")
}

#[test]
fn etcd_is_asked_in_base64_with_numbers_as_text() {
    let asked = body(&etcd(), &txn());
    assert_eq!(
        asked["compare"][0],
        json!({"key": "cC9h", "result": "EQUAL", "target": "CREATE", "create_revision": "0"})
    );
    assert_eq!(
        asked["compare"][1],
        json!({"key": "cC9i", "result": "EQUAL", "target": "MOD", "mod_revision": "7"})
    );
    assert_eq!(
        asked["compare"][2],
        json!({"key": "cC9j", "result": "EQUAL", "target": "LEASE", "lease": "12"})
    );
    assert_eq!(
        asked["success"][0],
        json!({"request_put": {"key": "cC9h", "value": "eA==", "lease": "12"}})
    );
    assert_eq!(
        asked["success"][2],
        json!({"request_delete_range": {"key": "cC9k"}})
    );
    // Pages go on behind the last key, at one revision.
    let asked = body(&etcd(), &page());
    assert_eq!(
        asked,
        json!({"key": "cC9rAA==", "range_end": "cDA=", "limit": "500", "revision": "40"})
    );
    let watch = StoreRequest::Watch {
        turn: 1,
        from: Revision(41),
    };
    assert!(etcd().request(&watch).expect("a request").stream);
    assert_eq!(
        body(&etcd(), &watch)["create_request"]["start_revision"],
        "41"
    );
    assert_eq!(
        body(
            &etcd(),
            &StoreRequest::Look {
                turn: 1,
                since: Revision(41)
            }
        )["min_mod_revision"],
        "42"
    );
}

#[test]
fn consul_is_asked_by_index_and_by_verbs() {
    let asked = body(&consul(), &txn());
    let verbs: Vec<&str> = asked
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|op| op["KV"]["Verb"].as_str())
        .collect();
    assert_eq!(
        verbs,
        [
            "check-not-exists",
            "check-index",
            "check-session",
            "lock",
            "set",
            "delete"
        ]
    );
    let first = consul()
        .request(&StoreRequest::Watch {
            turn: 1,
            from: Revision(0),
        })
        .expect("a request");
    assert_eq!(
        (first.path.as_str(), first.held),
        ("/v1/kv/p/?recurse=true", 0)
    );
    let next = consul()
        .request(&StoreRequest::Watch {
            turn: 1,
            from: Revision(9),
        })
        .expect("a request");
    assert_eq!(next.path, "/v1/kv/p/?recurse=true&index=9&wait=1s");
    let odd = consul()
        .request(&StoreRequest::Get {
            id: 1,
            key: "p/a b?c".into(),
        })
        .expect("a request");
    assert_eq!(odd.path, "/v1/kv/p/a%20b%3Fc?consistent=true");
}

fn reply(
    protocol: &dyn Protocol,
    ask: &StoreRequest,
    status: u16,
    index: Option<&str>,
    body: &str,
) -> Result<Answer, &'static str> {
    protocol
        .reply(
            ask,
            &Reply {
                status,
                index,
                body: body.as_bytes(),
            },
        )
        .map_err(|fault| fault.code)
}

const KV: &str = r#"{"key":"cC9h","create_revision":"3","mod_revision":"9","version":"2","value":"eA==","lease":"12"}"#;

#[test]
fn etcd_answers_are_read() {
    let body = format!(r#"{{"header":{{"revision":"40"}},"kvs":[{KV}],"more":true,"count":"9"}}"#);
    let Ok(Answer::Page {
        turn: 3,
        revision: Revision(40),
        pairs,
        more: true,
    }) = reply(&etcd(), &page(), 200, None, &body)
    else {
        panic!("no page")
    };
    assert_eq!(
        (pairs[0].key.as_str(), pairs[0].value.as_slice()),
        ("p/a", b"x".as_slice())
    );
    assert_eq!(
        (pairs[0].made, pairs[0].changed, &pairs[0].lease),
        (Revision(3), Revision(9), &Some(Lease("12".into())))
    );
    let done = reply(
        &etcd(),
        &txn(),
        200,
        None,
        r#"{"header":{"revision":"41"},"succeeded":true,"responses":[]}"#,
    );
    assert_eq!(
        done,
        Ok(Answer::Done {
            id: 5,
            revision: Revision(41)
        })
    );
    let refused = reply(
        &etcd(),
        &txn(),
        200,
        None,
        r#"{"header":{"revision":"41"}}"#,
    );
    assert_eq!(refused, Ok(Answer::Refused { id: 5 }));
    let no_lease = r#"{"error":"etcdserver: requested lease not found","code":5,"message":"x"}"#;
    assert_eq!(
        reply(&etcd(), &txn(), 404, None, no_lease),
        Ok(Answer::Refused { id: 5 })
    );
    let look = StoreRequest::Look {
        turn: 4,
        since: Revision(8),
    };
    let body = format!(r#"{{"header":{{"revision":"40"}},"kvs":[{KV}],"count":"7"}}"#);
    let (revision, newest) = (Revision(40), Some(Revision(9)));
    let looked = Answer::Looked {
        turn: 4,
        revision,
        newest,
        count: 7,
    };
    assert_eq!(reply(&etcd(), &look, 200, None, &body), Ok(looked));
    let compacted = r#"{"error":"etcdserver: mvcc: required revision has been compacted","code":11,"message":"x"}"#;
    assert!(matches!(
        reply(&etcd(), &page(), 400, None, compacted),
        Ok(Answer::Compacted { turn: 3, .. })
    ));
    let keep = StoreRequest::Keep {
        turn: 2,
        lease: Lease("12".into()),
    };
    assert_eq!(
        reply(
            &etcd(),
            &keep,
            200,
            None,
            r#"{"result":{"ID":"12","TTL":"6"}}"#
        ),
        Ok(Answer::Kept { turn: 2 })
    );
    assert_eq!(
        reply(&etcd(), &keep, 200, None, r#"{"result":{"ID":"12"}}"#),
        Ok(Answer::Expired { turn: 2 })
    );
}

#[test]
fn a_watch_of_etcd_is_read_line_by_line() {
    let watch = StoreRequest::Watch {
        turn: 6,
        from: Revision(4),
    };
    let piece = |line: &str| {
        etcd()
            .piece(&watch, line.as_bytes())
            .map_err(|fault| fault.code)
    };
    assert_eq!(
        piece(r#"{"result":{"header":{"revision":"9"},"created":true}}"#),
        Ok(Some(Answer::Begun { turn: 6 }))
    );
    let events = format!(
        r#"{{"result":{{"header":{{"revision":"9"}},"events":[{{"kv":{KV}}},{{"type":"DELETE","kv":{{"key":"cC9i","mod_revision":"9"}}}}]}}}}"#
    );
    let Ok(Some(Answer::Changes {
        turn: 6, changes, ..
    })) = piece(&events)
    else {
        panic!("no changes")
    };
    assert_eq!(
        changes[1],
        Change::Gone {
            key: "p/b".into(),
            at: Revision(9)
        }
    );
    let compacted =
        r#"{"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"8"}}"#;
    assert_eq!(
        piece(compacted),
        Ok(Some(Answer::Compacted {
            turn: 6,
            oldest: Revision(8)
        }))
    );
    assert_eq!(
        piece(r#"{"result":{"header":{"revision":"9"},"canceled":true}}"#),
        Err("turned-back")
    );
    assert_eq!(
        piece(r#"{"error":{"grpc_code":14,"message":"no leader"}}"#),
        Err("turned-back")
    );
    assert_eq!(piece(r#"{"result":{"header":{"re"#), Err("unreadable"));
    assert_eq!(piece(" "), Ok(None));
}

#[test]
fn consul_answers_are_read() {
    let watch = StoreRequest::Watch {
        turn: 6,
        from: Revision(4),
    };
    let body = r#"[{"LockIndex":1,"Key":"p/a","Flags":0,"Value":"eA==","CreateIndex":3,"ModifyIndex":9,"Session":"12"},
        {"LockIndex":0,"Key":"p/b","Flags":0,"Value":null,"CreateIndex":3,"ModifyIndex":4}]"#;
    let Ok(Answer::Whole {
        turn: 6,
        revision: Revision(10),
        pairs,
    }) = reply(&consul(), &watch, 200, Some("10"), body)
    else {
        panic!("nothing whole")
    };
    assert_eq!(
        (pairs.len(), pairs[1].value.len(), &pairs[0].lease),
        (2, 0, &Some(Lease("12".into())))
    );
    let none = reply(&consul(), &watch, 404, Some("11"), "");
    assert_eq!(
        none,
        Ok(Answer::Whole {
            turn: 6,
            revision: Revision(11),
            pairs: vec![]
        })
    );
    let done =
        r#"{"Results":[{"KV":{"Key":"p/a","CreateIndex":3,"ModifyIndex":12}}],"Errors":null}"#;
    assert_eq!(
        reply(&consul(), &txn(), 200, None, done),
        Ok(Answer::Done {
            id: 5,
            revision: Revision(12)
        })
    );
    let refused = r#"{"Results":null,"Errors":[{"OpIndex":0,"What":"failed"}]}"#;
    assert_eq!(
        reply(&consul(), &txn(), 409, None, refused),
        Ok(Answer::Refused { id: 5 })
    );
    let keep = StoreRequest::Keep {
        turn: 2,
        lease: Lease("12".into()),
    };
    assert_eq!(
        reply(&consul(), &keep, 404, None, "not found"),
        Ok(Answer::Expired { turn: 2 })
    );
}

#[rstest]
#[case::no_base64(&etcd(), page(), 200, r#"{"header":{"revision":"4"},"kvs":[{"key":"%%","mod_revision":"1"}]}"#, "bad-base64")]
#[case::absurd(&etcd(), page(), 200, r#"{"header":{"revision":"18446744073709551615"}}"#, "absurd-index")]
#[case::zero(&etcd(), page(), 200, r#"{"header":{}}"#, "absurd-index")]
#[case::below_zero(&etcd(), page(), 200, r#"{"header":{"revision":"-4"}}"#, "unreadable")]
#[case::error_body(&etcd(), txn(), 200, r#"{"error":"etcdserver: request timed out","code":14,"message":"x"}"#, "error-body")]
#[case::redirect(&etcd(), page(), 307, "", "redirected")]
#[case::outside(&etcd(), page(), 200, r#"{"header":{"revision":"4"},"kvs":[{"key":"cS9h","create_revision":"1","mod_revision":"1"}]}"#, "out-of-prefix")]
#[case::page_of_html(&etcd(), page(), 200, "<html>", "unreadable")]
#[case::no_leader(&etcd(), txn(), 503, r#"{"error":"etcdserver: no leader","code":14,"message":"x"}"#, "turned-back")]
#[case::consul_no_base64(&consul(), StoreRequest::Get { id: 1, key: "p/a".into() }, 200, r#"[{"Key":"p/a","Value":"%","CreateIndex":1,"ModifyIndex":1}]"#, "bad-base64")]
#[case::consul_outside(&consul(), StoreRequest::Get { id: 1, key: "p/a".into() }, 200, r#"[{"Key":"q/a","Value":"","CreateIndex":1,"ModifyIndex":1}]"#, "out-of-prefix")]
#[case::consul_redirect(&consul(), txn(), 301, "", "redirected")]
#[case::consul_both(&consul(), txn(), 200, r#"{"Results":[],"Errors":[{"What":"x"}]}"#, "error-body")]
#[case::consul_neither(&consul(), txn(), 200, "{}", "error-body")]
fn what_is_wrong_with_an_answer_has_a_code(
    #[case] protocol: &dyn Protocol,
    #[case] ask: StoreRequest,
    #[case] status: u16,
    #[case] body: &str,
    #[case] code: &str,
) {
    assert_eq!(reply(protocol, &ask, status, Some("4"), body), Err(code));
}

#[rstest]
#[case::none(None)]
#[case::zero(Some("0"))]
#[case::word(Some("next"))]
#[case::absurd(Some("99999999999999999999999"))]
fn a_blocking_query_without_a_sane_index_is_none(#[case] index: Option<&str>) {
    let watch = StoreRequest::Watch {
        turn: 6,
        from: Revision(4),
    };
    assert_eq!(
        reply(&consul(), &watch, 200, index, "[]"),
        Err("absurd-index")
    );
}

#[rstest]
#[case::later(429, Answer::Later { id: 5, millis: 1000 })]
#[case::not_done(400, Answer::Later { id: 5, millis: 0 })]
#[case::unknown(500, Answer::Unknown { id: 5 })]
fn a_write_that_was_turned_back_is_known_not_to_be_done_only_where_that_is_sure(
    #[case] status: u16,
    #[case] answer: Answer,
) {
    for protocol in [&etcd() as &dyn Protocol, &consul()] {
        let fault = protocol
            .reply(
                &txn(),
                &Reply {
                    status,
                    index: None,
                    body: b"no",
                },
            )
            .expect_err("turned back");
        assert_eq!(fault.answer(&txn()), Some(answer.clone()));
    }
}

#[rstest]
fn keys_are_spelled_and_read_back(
    #[values(
        KeyLocation::Charge(0), KeyLocation::Line(65_535), KeyLocation::Levels(12), KeyLocation::Assigner("n0".into()),
        KeyLocation::Forwarder(17), KeyLocation::Mark("n1".into()), KeyLocation::Answer(3, "n0".into())
    )]
    place: KeyLocation,
) {
    let layout = Layout::new("some/prefix");
    assert_eq!(layout.place(&layout.key(&place)), Some(place));
}

#[rstest]
fn other_keys_name_nothing(
    #[values(
        "p/slices/1/line",
        "p/slices/00001",
        "p/slices/99999/line",
        "q/slices/00001/line",
        "p/assigners/",
        "p/",
        ""
    )]
    key: &str,
) {
    assert_eq!(Layout::new("p").place(key), None);
}

fn asks() -> impl Strategy<Value = StoreRequest> {
    prop_oneof![
        Just(page()),
        Just(txn()),
        Just(StoreRequest::Watch {
            turn: 1,
            from: Revision(4)
        }),
        Just(StoreRequest::Look {
            turn: 1,
            since: Revision(4)
        }),
        Just(StoreRequest::Get {
            id: 1,
            key: "p/a".into()
        }),
        Just(StoreRequest::Grant {
            turn: 1,
            seconds: 5
        }),
        Just(StoreRequest::Keep {
            turn: 1,
            lease: Lease("5".into())
        }),
    ]
}

/// Answers that are nearly good: good ones with a piece replaced.
fn nearly() -> impl Strategy<Value = Vec<u8>> {
    let good = prop_oneof![
        Just(format!(
            r#"{{"header":{{"revision":"40"}},"kvs":[{KV}],"more":true}}"#
        )),
        Just(format!(
            r#"{{"result":{{"header":{{"revision":"9"}},"events":[{{"kv":{KV}}}]}}}}"#
        )),
        Just(r#"[{"Key":"p/a","Value":"eA==","CreateIndex":3,"ModifyIndex":9}]"#.to_owned()),
        Just(
            r#"{"Results":[{"KV":{"Key":"p/a","CreateIndex":3,"ModifyIndex":12}}],"Errors":null}"#
                .to_owned()
        ),
    ];
    (
        good,
        any::<prop::sample::Index>(),
        proptest::collection::vec(any::<u8>(), 0..6),
    )
        .prop_map(|(text, at, junk)| {
            let mut bytes = text.into_bytes();
            let at = at.index(bytes.len());
            let end = (at + junk.len()).min(bytes.len());
            bytes.splice(at..end, junk);
            bytes
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_comes_nothing_panics_and_nothing_grows(
        ask in asks(), status in 100..600_u16, index in "[0-9]{0,22}", body in prop_oneof![nearly(), proptest::collection::vec(any::<u8>(), 0..80)]
    ) {
        for protocol in [&etcd() as &dyn Protocol, &consul()] {
            let reply = Reply { status, index: Some(&index), body: &body };
            match protocol.reply(&ask, &reply) {
                Ok(Answer::Page { pairs, .. } | Answer::Whole { pairs, .. }) => {
                    let size: usize = pairs.iter().map(|pair| pair.key.len() + pair.value.len()).sum();
                    prop_assert!(size <= body.len());
                }
                Ok(_) => {}
                Err(fault) => prop_assert!(!fault.code.is_empty() && fault.detail.chars().count() <= 200),
            }
            let _ = protocol.piece(&ask, &body);
        }
    }
}
