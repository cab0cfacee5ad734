//! `mgw group-keys`.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use mgw_peer::GROUP_NAME;
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};

use crate::output::print_line;
use crate::{CliError, ExitStatus};

/// Name of the certificate authority's files, without the extension.
const AUTHORITY: &str = "authority";
/// File mode of a private key.
const KEY_MODE: u32 = 0o600;
/// File mode of a certificate.
const CERTIFICATE_MODE: u32 = 0o644;

/// Creates a certificate and its private key for each name. They are signed by the certificate
/// authority in the folder, which is created first if there is none.
pub fn make_group_keys(folder: &Path, names: &[String]) -> Result<ExitStatus, CliError> {
    std::fs::create_dir_all(folder).map_err(|source| file_error(folder, source))?;
    let authority = load_or_create_authority(folder)?;
    for name in names {
        let key = KeyPair::generate().map_err(certificate_error)?;
        let mut params =
            CertificateParams::new(vec![GROUP_NAME.to_owned()]).map_err(certificate_error)?;
        params
            .distinguished_name
            .push(DnType::CommonName, name.as_str());
        let certificate = params
            .signed_by(&key, &authority)
            .map_err(certificate_error)?;
        write_new_file(
            &folder.join(format!("{name}.crt")),
            &certificate.pem(),
            CERTIFICATE_MODE,
        )?;
        write_new_file(
            &folder.join(format!("{name}.key")),
            &key.serialize_pem(),
            KEY_MODE,
        )?;
        print_line(&format!(
            "{name}.crt and {name}.key in {}",
            folder.display()
        ));
    }
    Ok(ExitStatus::Success)
}

fn load_or_create_authority(folder: &Path) -> Result<Issuer<'static, KeyPair>, CliError> {
    let certificate_path = folder.join(format!("{AUTHORITY}.crt"));
    let key_path = folder.join(format!("{AUTHORITY}.key"));
    if certificate_path.exists() {
        let text = read_file(&certificate_path)?;
        let key = KeyPair::from_pem(&read_file(&key_path)?).map_err(certificate_error)?;
        return Issuer::from_ca_cert_pem(&text, key).map_err(certificate_error);
    }
    let key = KeyPair::generate().map_err(certificate_error)?;
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "masticgw group authority");
    let certificate = params.self_signed(&key).map_err(certificate_error)?;
    write_new_file(&key_path, &key.serialize_pem(), KEY_MODE)?;
    write_new_file(&certificate_path, &certificate.pem(), CERTIFICATE_MODE)?;
    Ok(Issuer::new(params, key))
}

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| file_error(path, source))
}

/// Creates a file with the given content and mode. Fails if the file exists, so that no key is
/// overwritten.
fn write_new_file(path: &Path, text: &str, mode: u32) -> Result<(), CliError> {
    let file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path);
    let mut file = file.map_err(|source| file_error(path, source))?;
    file.write_all(text.as_bytes())
        .map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: std::io::Error) -> CliError {
    CliError::File {
        path: path.display().to_string(),
        source,
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
fn certificate_error(error: rcgen::Error) -> CliError {
    CliError::Certificates {
        message: error.to_string(),
    }
}
