//! Streams: whole, gone on with at another side without loss or doubling, or visibly broken.

use serde_json::json;

use crate::script::{Act, stream, whole};
use crate::world::{POOL, World, case};

#[test]
fn streams_and_answers_whole() {
    case(|| async {
        let world = World::new().await;
        let started = world.start_ready(&[]).await;
        let scripts = [stream(&["Jó", " ég"]), whole("Jó ég")];
        let sides = world.sides(&started, POOL, &[scripts.to_vec()]).await;
        let caller = world.caller(&started);

        let told = caller.chat(true).await;
        assert!(told.whole);
        assert_eq!(told.text(), "Jó ég");
        assert_eq!(told.events().last().unwrap(), "[DONE]");
        assert_eq!(told.header("x-adapter"), Some("tour"));
        assert_eq!(told.header("x-version"), Some("v1"));
        assert_eq!(told.header("x-attempts"), Some("1"));

        let told = caller.chat(false).await;
        assert_eq!((told.status, told.whole), (200, true));
        assert_eq!(told.text(), "Jó ég");
        assert_eq!(
            told.header("content-length"),
            Some(&*told.body.len().to_string())
        );
        let seen = sides[0].seen();
        assert_eq!(
            told.header("x-request-id"),
            Some(seen[1].head.request.as_str())
        );
        assert_eq!(sides[0].body(1)["model"], json!("tour@v1"));
        assert_eq!(sides[0].dropped(), 0);
    });
}

#[allow(dead_code, reason = "used by the cases to come")]
fn broken() -> Vec<Act> {
    vec![Act::Head, Act::Role, Act::Text("Jó"), Act::Cut]
}
