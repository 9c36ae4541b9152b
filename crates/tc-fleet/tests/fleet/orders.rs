//! Orders to engines over several instances.

use std::fmt::Write as _;

use tc_stand_ins::{Engine, EngineConfig, Platform, Recorder};

use crate::common::{Instance, put_text, run, start_listed, until, until_settled};

const ENGINES: usize = 3;

async fn start_engines(recorder: &Recorder) -> Vec<Engine> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let cfg = EngineConfig {
            models: vec!["draft@1".to_owned()],
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

async fn started(recorder: &Recorder) -> (Platform, Vec<Engine>, Vec<Instance>) {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    let engines = start_engines(recorder).await;
    put_text(&platform, 1, config(&engines, "1")).await;
    let instances = start_listed(&platform, 2);
    until_settled(&instances, 2, 1).await;
    (platform, engines, instances)
}

#[test]
fn a_new_version_is_loaded_by_every_engine() {
    run(async {
        let recorder = Recorder::default();
        let (platform, engines, _instances) = started(&recorder).await;
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
