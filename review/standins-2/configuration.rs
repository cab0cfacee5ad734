//! Configurations of services with a model.

/// A service whose workers hold layers of a model.
#[derive(Debug, Clone, Copy)]
pub struct ModelService {
    pub name: &'static str,
    pub layers: u64,
    pub layer_mb: u64,
    /// Bytes of KV cache for one token, over all layers.
    pub kv_token_bytes: u64,
}

impl ModelService {
    fn route(&self) -> String {
        let name = self.name;
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"studio.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"streaming\",\"timeoutMs\":20000,\"targetLatencyMs\":500,\"priority\":1,\
             \"service\":\"{name}\",\"maxAttempts\":2,\"public\":true,\"stickySessions\":true,\
             \"resumable\":true,\"targetGapMs\":200}}"
        )
    }

    fn service(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"healthCheckPath\":\"/health\",\"maxConnections\":1128,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":192,\"kvCacheTokens\":100000,\
             \"kvTokenBytes\":{},\"linkMbps\":400000.0,\"stride\":3,\"models\":[{{\"name\":\"m0\",\
             \"pace\":1.0,\"loadS\":2.0,\"warmS\":1.0}}],\"step_ms\":1.02,\"per_seq_ms\":0.00714,\
             \"context_per_k\":0.00956,\"read_per_s\":105000.0,\"pairs_per_m\":0.309,\"chunk\":512,\
             \"report_lag_ms\":200.0,\"loadsPerS\":0.0,\"loads_at_once\":5,\"delays\":[],\
             \"usual\":{{\"prompt\":774,\"answer\":204}},\"layers\":{},\"layerMb\":{}.0,\
             \"activationBytes\":45900,\"pipeMbps\":22000.0,\
             \"kinds\":[{{\"name\":\"a100\",\"sizeMb\":72000.0,\"pace\":2.4,\"readFactor\":3.2}},\
             {{\"name\":\"l4\",\"sizeMb\":21600.0,\"pace\":16.0,\"readFactor\":8.2}}]}}}}",
            self.name, self.kv_token_bytes, self.layers, self.layer_mb
        )
    }
}

/// A configuration with a route to each service.
pub fn configuration(version: u64, services: &[ModelService]) -> String {
    let routes: Vec<String> = services.iter().map(ModelService::route).collect();
    let entries: Vec<String> = services.iter().map(ModelService::service).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[]}}",
        routes.join(","),
        entries.join(",")
    )
}
