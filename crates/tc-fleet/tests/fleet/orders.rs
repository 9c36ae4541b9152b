//! Orders to engines over several instances.

use std::fmt::Write as _;

use tc_stand_ins::{Engine, EngineConfig, Platform, Recorder, WeightStore};

use crate::common::{Instance, put_text, run, start_listed, until, until_settled};

const ENGINES: usize = 3;
/// Models a second of a weight store that serves one and then none for longer than any test lasts.
const ONE_MODEL: f64 = 0.001;

async fn start_engines(recorder: &Recorder, weights: Option<&WeightStore>) -> Vec<Engine> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let cfg = EngineConfig {
            models: vec!["draft@1".to_owned()],
            weight_store: weights.map(WeightStore::address),
            ..EngineConfig::new(format!("g{number}").as_str(), "generate")
        };
        let address = "127.0.0.1:0".parse().unwrap();
        engines.push(Engine::start(address, cfg, recorder.clone()).await.unwrap());
    }
    engines
}

fn config(engines: &[Engine], version: &str) -> String {
    let mut text = format!(
        "[models.draft]\nversion = \"{version}\"\n[services.generate]\nkind = \"engine\"\nmodel = \"draft\"\n"
    );
    for (number, engine) in engines.iter().enumerate() {
        let _ = write!(
            text,
            "[[services.generate.upstreams]]\nid = \"g{number}\"\naddress = \"{}\"\nfailure_domain = \"kl-a\"\nregion = \"kl\"\n",
            engine.address()
        );
    }
    text
}

async fn started(
    recorder: &Recorder,
    weights: Option<&WeightStore>,
) -> (Platform, Vec<Engine>, Vec<Instance>) {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let engines = start_engines(recorder, weights).await;
    put_text(&platform, 1, config(&engines, "1")).await;
    let instances = start_listed(&platform, 2);
    until_settled(&instances, 2, 1).await;
    (platform, engines, instances)
}

#[test]
fn a_new_version_is_loaded_by_every_engine() {
    run(async {
        let recorder = Recorder::default();
        let (platform, engines, _instances) = started(&recorder, None).await;
        put_text(&platform, 2, config(&engines, "2")).await;
        until("every engine has the new version", || {
            engines.iter().all(|engine| engine.models() == ["draft@2"])
        })
        .await;
        put_text(&platform, 3, config(&engines, "3")).await;
        until("every engine has the newest version", || {
            engines.iter().all(|engine| engine.models() == ["draft@3"])
        })
        .await;
        let fences: Vec<u64> = recorder.orders().iter().map(|o| o.order.fence).collect();
        assert!(fences.is_sorted(), "fencing numbers went back: {fences:?}");
    });
}

/// Orders accepted for a model.
fn orders_for(recorder: &Recorder, model: &str) -> usize {
    let orders = recorder.orders();
    let accepted = orders.iter().filter(|o| o.accepted);
    accepted.filter(|o| o.order.models == [model]).count()
}

#[test]
fn a_new_version_is_ordered_while_loads_of_the_last_one_are_stuck() {
    // Symptom: for half a minute after a change of version no engine is ordered to load it.
    // Sequence: a version is ordered; the weight store serves one engine and no other; the next version is accepted.
    // Cause: loads in progress are bounded, and those of a version no longer wanted must not count.
    run(async {
        let recorder = Recorder::default();
        let address = "127.0.0.1:0".parse().unwrap();
        let weights = WeightStore::start(address, ONE_MODEL).await.unwrap();
        let (platform, engines, _instances) = started(&recorder, Some(&weights)).await;
        put_text(&platform, 2, config(&engines, "2")).await;
        until("every engine is ordered to load the second version", || {
            orders_for(&recorder, "draft@2") >= ENGINES
        })
        .await;
        put_text(&platform, 3, config(&engines, "3")).await;
        until("the third version is ordered", || {
            orders_for(&recorder, "draft@3") > 0
        })
        .await;
    });
}
