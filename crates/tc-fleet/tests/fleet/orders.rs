//! Orders to engines across several instances.

use std::fmt::Write as _;

use tc_stand_ins::{Engine, EngineConfig, Platform, Recorder, WeightStore};

use crate::common::{Instance, put_config_text, run, start_listed, wait_until, wait_until_settled};

const ENGINES: usize = 3;
/// Rate of a weight store, in models per second, that serves one model and no second one within the time of a test.
const MODELS_PER_S: f64 = 0.001;

async fn start_engines(recorder: &Recorder, weight_store: Option<&WeightStore>) -> Vec<Engine> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let cfg = EngineConfig {
            models: vec!["draft@1".to_owned()],
            weight_store: weight_store.map(WeightStore::address),
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

async fn start_fleet(
    recorder: &Recorder,
    weight_store: Option<&WeightStore>,
) -> (Platform, Vec<Engine>, Vec<Instance>) {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let engines = start_engines(recorder, weight_store).await;
    put_config_text(&platform, 1, config(&engines, "1")).await;
    let instances = start_listed(&platform, 2);
    wait_until_settled(&instances, 2, 1).await;
    (platform, engines, instances)
}

#[test]
fn a_new_version_is_loaded_by_every_engine() {
    run(async {
        let recorder = Recorder::default();
        let (platform, engines, _instances) = start_fleet(&recorder, None).await;
        put_config_text(&platform, 2, config(&engines, "2")).await;
        wait_until("every engine has the new version", || {
            engines.iter().all(|engine| engine.models() == ["draft@2"])
        })
        .await;
        put_config_text(&platform, 3, config(&engines, "3")).await;
        wait_until("every engine has the newest version", || {
            engines.iter().all(|engine| engine.models() == ["draft@3"])
        })
        .await;
        let fences: Vec<u64> = recorder.orders().iter().map(|o| o.order.fence).collect();
        assert!(fences.is_sorted(), "fencing tokens decreased: {fences:?}");
    });
}

/// Returns the number of accepted orders for a model.
fn orders_for(recorder: &Recorder, model: &str) -> usize {
    let orders = recorder.orders();
    let accepted = orders.iter().filter(|o| o.accepted);
    accepted.filter(|o| o.order.models == [model]).count()
}

#[test]
fn a_new_version_is_ordered_while_loads_of_the_last_one_are_stuck() {
    // The number of concurrent loads is limited, and loads of a version that is no longer desired must not count.
    // Otherwise no engine is ordered to load a new version for half a minute. Here the weight store serves the second
    // version to only one engine before the third version is configured.
    run(async {
        let recorder = Recorder::default();
        let address = "127.0.0.1:0".parse().unwrap();
        let weight_store = WeightStore::start(address, MODELS_PER_S).await.unwrap();
        let (platform, engines, _instances) = start_fleet(&recorder, Some(&weight_store)).await;
        put_config_text(&platform, 2, config(&engines, "2")).await;
        wait_until("every engine is ordered to load the second version", || {
            orders_for(&recorder, "draft@2") >= ENGINES
        })
        .await;
        put_config_text(&platform, 3, config(&engines, "3")).await;
        wait_until("the third version is ordered", || {
            orders_for(&recorder, "draft@3") > 0
        })
        .await;
    });
}
