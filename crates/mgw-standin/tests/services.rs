//! The stand-ins for a plain service and the weight store, and the check of settings.

#![allow(clippy::unwrap_used)]

use hyper::{Request, StatusCode};
use mgw_contract::caller::IDEMPOTENCY_KEY_HEADER;
use mgw_serve::http::{client, full, read_body};
use mgw_standin::journal::{JournalEvent, JournalLine};
use mgw_standin::plain::PlainReply;
use mgw_standin::settings::{Role, Settings, WeightsSettings, find_setting_errors};
use mgw_standin::{JOURNAL_PATH, start};

async fn post(url: String, key: Option<&str>, body: &'static str) -> (StatusCode, Vec<u8>) {
    let mut request = Request::post(url);
    if let Some(key) = key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    let response = client()
        .request(request.body(full(body)).unwrap())
        .await
        .unwrap();
    let status = response.status();
    (
        status,
        read_body(response.into_body()).await.unwrap().to_vec(),
    )
}

async fn get(url: String) -> (StatusCode, Vec<u8>) {
    let request = Request::get(url).body(full("")).unwrap();
    let response = client().request(request).await.unwrap();
    let status = response.status();
    (
        status,
        read_body(response.into_body()).await.unwrap().to_vec(),
    )
}

#[tokio::test]
async fn each_executed_call_is_echoed_and_journaled_with_its_key() {
    let settings = Settings {
        role: Role::Plain,
        ..Settings::default()
    };
    let running = start(settings).await.unwrap();
    let base = format!("http://{}", running.address);
    for (count, key) in [(1, Some("k1")), (2, None), (3, Some("k1"))] {
        let (_, text) = post(format!("{base}/issue/7"), key, "marshal").await;
        let reply: PlainReply = serde_json::from_slice(&text).unwrap();
        let expected = PlainReply {
            path: "/issue/7".to_owned(),
            count,
            echo: "marshal".to_owned(),
        };
        assert_eq!(reply, expected);
    }
    let (_, text) = get(format!("{base}{JOURNAL_PATH}")).await;
    let text = String::from_utf8(text).unwrap();
    let keys = text.lines().map(|line| {
        let line: JournalLine = serde_json::from_str(line).unwrap();
        match line.event {
            JournalEvent::Call { key, .. } => key,
            other => panic!("{other:?}"),
        }
    });
    let k1 = Some("k1".to_owned());
    assert_eq!(keys.collect::<Vec<_>>(), [k1.clone(), None, k1]);
}

#[tokio::test]
async fn the_weight_store_serves_layers_by_path() {
    let settings = Settings {
        role: Role::Weights,
        weights: WeightsSettings {
            layer_bytes: 100,
            bytes_per_s: 1_000_000,
        },
        ..Settings::default()
    };
    let running = start(settings).await.unwrap();
    let base = format!("http://{}", running.address);
    let (status, bytes) = get(format!("{base}/weights/drill/v1/3")).await;
    assert_eq!((status, bytes.len()), (StatusCode::OK, 100));
    for path in ["/weights/drill/v1", "/weights/drill/v1/x", "/other"] {
        let (status, _) = get(format!("{base}{path}")).await;
        assert_eq!(status, StatusCode::NOT_FOUND, "{path}");
    }
}

#[tokio::test]
async fn all_invalid_settings_are_listed() {
    let mut settings = Settings::default();
    settings.engine.activation_bytes = 7;
    settings.engine.tokens_per_s = 0;
    settings.engine.model_layers = 0;
    let keys: Vec<&str> = find_setting_errors(&settings)
        .iter()
        .map(|error| error.key)
        .collect();
    assert_eq!(
        keys,
        [
            "engine.activation_bytes",
            "engine.model_layers",
            "engine.tokens_per_s"
        ]
    );
    let error = start(settings).await.unwrap_err().to_string();
    assert!(error.contains("engine.tokens_per_s"), "{error}");
}
